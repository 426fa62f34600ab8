"""A worker restarts under its id and leaves before its first ping arrives.

No case of the review: rule DRAIN. It exits with 1 if a request reached the
worker later than `drainMs` after its deregistration was acknowledged; with
`TROUBLE=0` the first ping of the new start arrives in time. The record goes to
the temporary folder of the system.
"""

import asyncio
import pathlib
import sys
import tempfile
import time
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common_2 import stage as stages

DRAIN_S = 2.0
# The first ping of the new start is at least this late.
OBSERVED_S = 6.0
ROUTES = [
    stages.make_route("r-status", "/status/", "desk", "safe", maxAttempts=2)
]


async def play(stage: stages.Stage) -> int:
    """Plays it."""
    arrivals: list[tuple[float, str]] = []

    async def answer(
        worker: stages.Worker,
        received: stages.Received,
        reader: Any,
        writer: Any,
    ) -> bool:
        arrivals.append((time.monotonic(), received.request_id))
        return await stages.answer_soundly(worker, received, reader, writer)

    leaver = stages.Worker(stage, "i-desk-2", "desk", handler=answer)
    workers = [stages.Worker(stage, "i-desk-1", "desk"), leaver]
    manifest = stages.make_manifest(1, ROUTES, [stages.make_service("desk")])
    await stage.start(manifest, workers)
    await stage.wait_served("/status/1", Deadline_Ms="3000")
    await asyncio.sleep(stages.HEARTBEAT_S + 0.3)
    leaver.stop()
    stage.record.note("the worker has crashed")
    await asyncio.sleep(0.5)
    await leaver.restart(announces=not stages.with_trouble())
    await asyncio.sleep(0.3)
    status, _ = await stage.call_control(
        "POST", "/api/instances/i-desk-2/deregister", {"born": leaver.born}, 1.0
    )
    if status != 200:
        raise stages.CannotRunError(f"the deregistration got {status}")
    acked_s = time.monotonic()
    stage.record.note("the deregistration was acknowledged")
    pending, sent_s = [], {}
    while time.monotonic() < acked_s + OBSERVED_S:
        name = f"sound-{len(pending)}"
        router = stage.routers[len(pending) % len(stage.routers)]
        sent_s[name] = time.monotonic()
        pending.append(
            asyncio.ensure_future(
                stage.ask(router, "/status/2", name, 3.0, Deadline_Ms="3000")
            )
        )
        await asyncio.sleep(0.02)
    await asyncio.gather(*pending)
    late = [
        (name, at_s - acked_s)
        for at_s, name in arrivals
        if at_s > acked_s + DRAIN_S
    ]
    for name, after_s in late:
        stage.record.note(
            f"{name}, sent {sent_s[name] - acked_s:.2f} s after the "
            f"acknowledgement, reached the worker after {after_s:.2f} s"
        )
    stage.record.note(f"{len(late)} requests reached the worker late")
    return stages.BROKEN if late else stages.HELD


if __name__ == "__main__":
    stages.run_case(str(pathlib.Path(tempfile.mkdtemp()) / "record"), play)
