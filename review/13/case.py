"""A client whose prompts have very many short parts, then ordinary clients."""

import itertools
import pathlib
import time

from review.common_3 import fleet as fleet_module
from review.common_3 import workers as workers_module

HOSTILE_REQUESTS = 120
HOSTILE_S = 30.0
# Characters of the header, within `maxHeaderBytes` (16,384) with the others.
PREFIX_CHARACTERS = 15_600
# Time after the last of these requests until ordinary ones count (`recoveryS`),
# and for which they count.
RECOVERY_S = 12.0
COUNTED_S = 20.0
ORDINARY_PAUSE_S = 0.25


def run(record: fleet_module.Record, trouble: bool) -> bool:
    """Runs the case; returns whether ordinary clients were served."""
    fleet = fleet_module.Fleet(record, controllers=5, routers=2)
    workers = []
    numbers = itertools.count(1)

    def build_parts():
        if not trouble:
            return ["5c1e07a2:800", "91bd3f06:410"]
        parts, size = [], 0
        while size < PREFIX_CHARACTERS:
            parts.append(f"{next(numbers):x}:1")
            size += len(parts[-1]) + 1
        return parts

    def ask(router, key, parts):
        tokens = sum(int(part.split(":")[1]) for part in parts)
        return workers_module.ask(
            fleet,
            router,
            "/a/x",
            headers=[
                ("Authorization", f"Bearer {key}"),
                ("Model", "m"),
                ("Token-Usage", f"{tokens},10"),
                ("Prefix-Hash", ",".join(parts)),
            ],
        )[1].status

    def ask_ordinary(seconds):
        statuses = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for router in fleet.routers:
                statuses.append(
                    ask(router, "key-ordinary", ["ab12:800", "cd34:410"])
                )
            time.sleep(ORDINARY_PAUSE_S)
        return statuses

    try:
        fleet.start()
        fleet.until_acked(
            "POST",
            "/api/config/replace",
            workers_module.manifest(
                1,
                [("a", "/a/", "streaming", "lm", {"maxAttempts": 1})],
                [("lm", workers_module.ENGINE)],
                {"hostile": ["key-hostile"], "ordinary": ["key-ordinary"]},
            ),
        )
        for zone in fleet_module.ZONES:
            worker = workers_module.Worker(fleet, "lm", zone, slots=64)
            workers.append(worker)
            worker.start()
            worker.announce_until_acked()
        fleet.wait_ready()
        before = ask_ordinary(2.0)
        if before.count(200) * 4 < len(before):
            raise fleet_module.CannotRunError(f"not served: {before}")
        end_s = time.monotonic() + HOSTILE_S
        routers = itertools.cycle(fleet.routers)
        statuses = []
        while len(statuses) < HOSTILE_REQUESTS and time.monotonic() < end_s:
            statuses.append(ask(next(routers), "key-hostile", build_parts()))
        record.write(
            f"hostile requests: {len(statuses)} sent one after the other, "
            f"{statuses.count(200)} served"
        )
        ask_ordinary(RECOVERY_S)
        statuses = ask_ordinary(COUNTED_S)
        served = statuses.count(200)
        text = f"ordinary requests: {len(statuses)} sent, {served} served"
        record.write(text)
        print(text)
        return served * 4 >= len(statuses)
    finally:
        for worker in workers:
            worker.stop()
        fleet.stop()


if __name__ == "__main__":
    fleet_module.run_case(str(pathlib.Path(__file__).parent), run)
