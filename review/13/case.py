"""A worker that starts again under its id and leaves before it is announced."""

import pathlib
import time

from review.common_3 import fleet as fleet_module
from review.common_3 import workers as workers_module

DRAIN_S = fleet_module.BOUNDS["drainMs"] / 1000
# Time from the crash to the new start, and from there to the departure.
DOWN_S = 0.5
BEFORE_LEAVING_S = 0.3
COUNTED_S = 6.0
PAUSE_S = 0.03


def run(record: fleet_module.Record, trouble: bool) -> bool:
    """Runs the case; returns whether the worker got no late request."""
    fleet = fleet_module.Fleet(record, controllers=5, routers=2)
    workers = []
    try:
        fleet.start()
        fleet.until_acked(
            "POST",
            "/api/config/replace",
            workers_module.manifest(
                1, [("a", "/a/", "safe", "app", {})], [("app", {})]
            ),
        )
        for zone in fleet_module.ZONES:
            worker = workers_module.Worker(fleet, "app", zone)
            workers.append(worker)
            worker.start()
            worker.announce_until_acked()
        fleet.wait_ready()
        for _ in range(5):
            for router in fleet.routers:
                workers_module.ask(fleet, router, "/a/x")
        first = workers[0]
        first.announce_until_acked()
        first.crash()
        time.sleep(DOWN_S)
        second = workers_module.Worker(fleet, "app", first.zone, first.id)
        second.ip = first.ip
        workers.append(second)
        # With trouble, the first ping of this start is late.
        second.pause_beats()
        second.start()
        if not trouble:
            second.announce_until_acked()
        time.sleep(BEFORE_LEAVING_S)
        answer = fleet.control(
            "POST",
            f"/api/instances/{second.id}/deregister",
            {"born": second.born},
        )
        if answer.status != 200:
            raise fleet_module.CannotRunError(
                f"the departure got {answer.status}"
            )
        acked_s = time.monotonic()
        record.write(f"the departure of {second.id} is acknowledged")
        end_s = acked_s + COUNTED_S
        while time.monotonic() < end_s:
            for router in fleet.routers:
                workers_module.ask(fleet, router, "/a/x")
            time.sleep(PAUSE_S)
        late = [at_s for at_s, _, _ in second.ran if at_s > acked_s + DRAIN_S]
        text = f"{len(late)} requests reached the worker too late"
        record.write(text)
        print(text)
        return not late
    finally:
        for worker in workers:
            worker.stop()
        fleet.stop()


if __name__ == "__main__":
    fleet_module.run_case(str(pathlib.Path(__file__).parent), run)
