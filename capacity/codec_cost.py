"""Processor time and bytes of messages against their sizes."""

import itertools
import json
import time

from returns import result

from capacity import common
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.core import wire
from waxwingrack.daemons import transport
from waxwingrack.load import environment

# A websocket frame of a client has 2 to 8 more bytes and a mask of 4.
ITEMS = (0, 1, 4, 16)
ANNOUNCED = (1, 4, 16)
WORKSPACES = (16, 100, 350)


def _grant(number: int) -> data.Grant:
    server = common.announcement(number)
    return data.Grant(
        1_000_000 + number,
        3,
        number,
        server.server_id,
        server.incarnation,
        server.address,
        server.version,
    )


def _finished(number: int) -> data.FinishedRequest:
    return data.FinishedRequest(
        3, 1_000_000 + number, data.Outcome.COMPLETED, 12.25, 480.5, 480.5
    )


def _report(**fields: tuple) -> messages.RouterReport:
    return messages.RouterReport(3_600_123, 1_900, **fields)


def _line(name: str, size: int, message: object) -> tuple[int, float, float]:
    """Measures a message on a connection that has carried it before."""
    encoder, decoder = wire.Encoder(), wire.Decoder()
    frames = [encoder.encode(message) for _ in range(2 * wire.FRAME_NUMBERS)]
    for frame in frames[: wire.FRAME_NUMBERS]:
        decoder.decode(frame).unwrap()
    later = itertools.cycle(frames[wire.FRAME_NUMBERS :])
    encode = common.per_call_us(lambda: encoder.encode(message), 0.2)
    decode = common.per_call_us(lambda: decoder.decode(next(later)), 0.2)
    assert not decoder.frame_refused
    print(
        f"{name:32} {size:4}: {len(frames[-1]):7} bytes,"
        f" encode {encode:8.1f} us, decode {decode:8.1f} us",
        flush=True,
    )
    return len(frames[-1]), encode, decode


def _series(name: str, sizes: tuple[int, ...], make) -> None:
    points = [(size, _line(name, size, make(size))) for size in sizes]
    fits = [
        common.slope([(size, figures[column]) for size, figures in points])
        for column in range(3)
    ]
    print(
        f"{name:32} slope: {fits[0][0]:.1f} bytes, encode {fits[1][0]:.2f} us,"
        f" decode {fits[2][0]:.2f} us each; at 0: {fits[0][1]:.0f} bytes,"
        f" {fits[1][1]:.1f} us, {fits[2][1]:.1f} us"
    )


def _push(workspaces: int) -> messages.EnvironmentPush:
    found = environment.check(common.document(workspaces))
    assert isinstance(found, result.Success), found
    return messages.EnvironmentPush(1_900, found.unwrap())


def _pushes() -> None:
    points = []
    for size in WORKSPACES:
        push = _push(size)
        plain, _, _ = _line("environment push", size, push)
        frame = messages.CODEC.encode(push)
        start = time.process_time()
        packed = transport.compress_frame(frame)
        spent = time.process_time() - start
        document = len(json.dumps(common.document(size)))
        print(
            f"{'environment push, compressed':32} {size:4}:"
            f" {len(packed):7} bytes of {plain}, compress"
            f" {spent * 1e6:.0f} us; JSON document {document} bytes"
        )
        points.append((size, len(packed)))
    gradient, base = common.slope(points)
    print(
        f"{'environment push, compressed':32} slope: {gradient:.1f} bytes a"
        f" workspace, {base:.0f} bytes at 0"
    )


def main() -> None:
    """Prints the cost of each kind of message."""
    _series(
        "report with wants",
        ITEMS,
        lambda size: _report(
            wants=tuple(
                common.want(10_000 + number, 100 + number, 7)
                for number in range(size)
            )
        ),
    )
    _series(
        "report with finished",
        ITEMS,
        lambda size: _report(finished=tuple(map(_finished, range(size)))),
    )
    _series(
        "report with announcements",
        ANNOUNCED,
        lambda size: _report(
            announcements=tuple(
                common.announcement(number, in_flight=3)
                for number in range(size)
            )
        ),
    )
    _series(
        "update with grants",
        ITEMS,
        lambda size: messages.ControllerUpdate(
            3_600_123, 3, tuple(map(_grant, range(size)))
        ),
    )
    _pushes()
