"""Steps for callers that read slowly or not at all."""

import json
import socket
import time

import behave

from features.support import fleet

MIB = 1024 * 1024
TOKEN_BYTES = 65_536


def resident(context, name):
    """Returns the resident memory of a process, in bytes."""
    process = context.fleet.members[name].process
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def streamed(context):
    """Returns the bytes that the engine has written since its start."""
    port = context.fleet.members["patient-1"].ports["requests"]
    answer = fleet.request(port, "GET", "/-/runs")
    return json.loads(answer.body)["streamed_bytes"]


def in_use(context):
    """Returns the number of grants in use at the router."""
    return context.fleet.metric("r1", "router_grants_in_use")


def begin(context, service, size):
    """Sends a prompt for a stream of a size, with a small receive buffer."""
    tokens = size * MIB // TOKEN_BYTES
    body = json.dumps({"prompt": "a", "stream": True, "max_tokens": tokens})
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    conn.settimeout(20)
    conn.connect(("127.0.0.1", context.fleet.members["r1"].ports["callers"]))
    conn.sendall(
        f"POST /{service} HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer token-w1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    context.conn = conn


def read(context, size):
    """Reads at least a number of bytes, or to the end if it is None."""
    found = bytearray()
    while size is None or len(found) < size:
        chunk = context.conn.recv(MIB)
        found += chunk
        if not chunk or found.endswith(b"\r\n0\r\n\r\n"):
            break
    return bytes(found)


@behave.when(
    "a caller of the fleet begins a stream of {size:d} MiB and reads nothing"
)
def begins(context, size):
    context.size = size
    context.memory = {x: resident(context, x) for x in ("r1", "patient-1")}
    context.streamed = streamed(context)
    begin(context, "patient", size)


@behave.then(
    "the engine stops within {size:d} MiB and neither router nor engine grows "
    "by {growth:d} MiB"
)
def engine_stops(context, size, growth):
    seen = [0, 0, 0]

    def stopped():
        time.sleep(0.2)
        seen.append(streamed(context) - context.streamed)
        return seen[-1] and len(set(seen[-3:])) == 1

    fleet.wait_until(stopped, 20, "the engine stopped")
    assert seen[-1] < size * MIB, seen
    for name, before in context.memory.items():
        grown = resident(context, name) - before
        assert grown < growth * MIB, (name, grown)


@behave.then("another caller's stream of the fleet is whole meanwhile")
def other_whole(context):
    answer = context.fleet.call(
        "r1",
        "POST",
        "/patient",
        {"prompt": "b", "stream": True, "max_tokens": 4},
        token="token-w2",
    )
    assert answer.status == 200 and answer.whole, answer.status
    assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-99:]
    assert in_use(context) == 1


@behave.then("the slow caller can then read its whole stream")
def reads_whole(context):
    found = read(context, None)
    assert len(found) > context.size * MIB, len(found)
    assert found.endswith(b"\r\n0\r\n\r\n"), found[-99:]
    context.conn.close()


@behave.when(
    "a caller of the fleet begins a stream of {size:d} MiB and stops reading "
    "{part}"
)
def stops_reading(context, size, part):
    fleet.wait_until(lambda: in_use(context) == 0, 20, "no grant in use")
    begin(context, "strict", size)
    if part.startswith("after"):
        assert len(read(context, int(part.split()[1]) * MIB)) >= 8 * MIB
    fleet.wait_until(lambda: in_use(context) == 1, 20, "a grant in use")
    context.stopped = time.monotonic()


@behave.then(
    "its slot is free after {seconds:d} seconds and the outcome is {outcome}"
)
def slot_free(context, seconds, outcome):
    fleet.wait_until(lambda: in_use(context) == 0, 20, "the slot free")
    # The time limit began when the buffer was full, shortly before.
    assert time.monotonic() - context.stopped > seconds * 0.75
    ended = [
        line
        for line in context.fleet.members["r1"].decisions()
        if line["event"] == "ended"
    ]
    assert ended[-1]["reason"] == outcome, ended[-1]
    fleet.wait_until(
        lambda: (
            not any(
                row["in_use"]
                for row in context.fleet.status()["backend_servers"]
            )
        ),
        10,
        "no slot in use at the leader",
    )


@behave.then("the caller of the fleet sees a broken transfer")
def sees_broken(context):
    try:
        found = read(context, None)
    except ConnectionError:
        found = b""
    assert not found.endswith(b"\r\n0\r\n\r\n"), found[-99:]
    context.conn.close()
