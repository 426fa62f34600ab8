"""Steps for real processes that are started as the platform starts them."""

import contextlib
import http.client
import json
import pathlib
import resource
import socket
import time

import behave

from features.support import fleet
from features.support import platform_fleet

WAIT_S = 20.0
# More than a controller may take of one announcement.
ENDLESS_MIB = 160


def _document(revision, timeout_ms=3000):
    route = {"host": "h.example", "timeoutMs": timeout_ms, "service": "s"}
    return {
        "version": revision,
        "routes": [
            {**route, "name": "a", "pathPrefix": "/a/", "kind": "unsafe"},
            {**route, "name": "b", "pathPrefix": "/b/", "kind": "streaming"},
        ],
        "services": [{"name": "s", "coldPerS": 0.0}],
        "limits": {},
        "tenants": [{"name": "w", "apiKeys": [platform_fleet.KEY]}],
    }


def _read_back(cluster):
    answer = cluster.until_accepted("GET", "/api/config/get")
    return json.loads(answer.body)


@behave.when("the document {revision:d} is sent to every controller")
def send_document(context, revision):
    cluster = context.fleet
    for machine in cluster.controllers:
        cluster.until_accepted(
            "POST", "/api/config/replace", _document(revision), machine.ip
        )
    cluster.last_document = _document(revision)


@behave.when("a backend server announces itself at every controller")
def announce(context):
    for machine in context.fleet.controllers:
        fleet.wait_until(
            lambda at=machine.ip: context.fleet.announce(at).status == 200,
            WAIT_S,
            f"an announcement at {machine.name}",
        )
    context.fleet.keep_announcing()


@behave.then(
    "a caller of the workspace gets the whole answer of the backend server"
)
def served(context):
    def answered():
        answer = context.fleet.ask()
        return answer if answer.status == 200 else None

    answer = fleet.wait_until(answered, WAIT_S, "an answer")
    assert answer.whole
    assert answer.headers["response-seal"] == "seal-1", answer.headers
    assert json.loads(answer.body) == {"echo": "hello"}, answer.body


@behave.then("the backend server got its own id, the workspace and no key")
def got_headers(context):
    path, headers, body = context.fleet.server.requests[-1]
    assert (path, body) == ("/a/x", b"hello")
    assert headers["Expect-Instance"] == context.fleet.server.id, headers
    assert headers["Tenant"] == "w", headers
    assert 0 < int(headers["Deadline-Ms"]) <= 3000, headers
    assert "Authorization" not in headers, headers


@behave.then(
    "a caller with an unknown key gets 401 and one without a route 404"
)
def refused(context):
    assert context.fleet.ask(key="unknown").status == 401
    assert context.fleet.ask(path="/nowhere/x").status == 404


@behave.then("the router is ready")
def ready(context):
    answer = fleet.request(
        platform_fleet.READY_PORT,
        "GET",
        "/api/ready",
        host=context.fleet.router.ip,
    )
    assert answer.status == 200, answer


def _open_stream(context, mode):
    server = context.fleet.server
    server.mode = mode
    server.left.clear()
    conn = http.client.HTTPConnection(
        context.fleet.router.ip, platform_fleet.FRONT_PORT, timeout=5
    )
    headers = {
        "Host": "h.example",
        "Request-Id": f"stream-{mode}",
        "Deadline-Ms": "8000",
        "Authorization": f"Bearer {platform_fleet.KEY}",
    }
    conn.request("POST", "/b/x", b"prompt", headers)
    return conn, conn.getresponse()


@behave.when("a caller asks for a stream and reads it")
def read_stream(context):
    conn, response = _open_stream(context, "serve")
    context.delays_s, context.ids = [], []
    while line := response.readline():
        if line.startswith(b"id:"):
            context.ids.append(int(line[3:]))
        if line.startswith(b"data:"):
            context.delays_s.append(time.time() - float(line[5:]))
    conn.close()


@behave.then("every event arrives as it is sent")
def events_arrive(context):
    assert context.ids == list(range(platform_fleet.EVENTS)), context.ids
    assert max(context.delays_s) < 0.12, context.delays_s


@behave.when("a caller asks for a stream and the backend server breaks off")
def broken_stream(context):
    conn, response = _open_stream(context, "break")
    try:
        response.read()
        context.whole = True
    except (http.client.HTTPException, OSError):
        context.whole = False
    conn.close()


@behave.then("the answer does not look whole")
def not_whole(context):
    context.fleet.server.mode = "serve"
    assert not context.whole


@behave.when("a caller asks for a stream and leaves after an event")
def leave_stream(context):
    conn, response = _open_stream(context, "long")
    response.readline()
    response.close()
    conn.close()
    context.left_s = time.monotonic()


@behave.then("the backend server is let go within {limit:d} ms")
def let_go(context, limit):
    server = context.fleet.server
    assert server.left.wait(5), "the backend server was not let go"
    server.mode = "serve"
    # The server notices at the second write after the close.
    noticed_ms = 1000 * (time.monotonic() - context.left_s)
    assert noticed_ms <= limit, noticed_ms


@behave.when("the backend server refuses its requests unrun")
def refuse(context):
    context.fleet.server.mode = "refuse"


@behave.then("a caller gets 503 with a time to come back and nothing ran")
def refused_unrun(context):
    answer = context.fleet.ask()
    context.fleet.server.mode = "serve"
    assert answer.status == 503, answer
    assert float(answer.headers["retry-after"]) > 0, answer.headers


@behave.when(
    "other content is sent with the revision {same:d} and the revision {low:d}"
)
def other_content(context, same, low):
    context.answers = [
        context.fleet.until_accepted(
            "POST", "/api/config/replace", _document(revision, 1234)
        )
        for revision in (same, low)
    ]


@behave.then(
    "every order was acknowledged and the document {revision:d} is read back"
)
def unchanged(context, revision):
    assert len(context.answers) == 2
    assert _read_back(context.fleet) == _document(revision)


@behave.when("the data centre of the backend server is taken out")
def take_out(context):
    context.fleet.until_accepted("POST", "/api/evacuations/z2/start")


@behave.when("the data centre of the backend server is taken back")
def take_back(context):
    context.fleet.until_accepted("POST", "/api/evacuations/z2/end")


@behave.then(
    "a caller gets no answer of the backend server and the router is ready"
)
def taken_out(context):
    ready(context)
    before = len(context.fleet.server.requests)
    assert context.fleet.ask().status == 503
    assert len(context.fleet.server.requests) == before


@behave.when("a controller is killed, loses its disk and starts again")
def lose_disk(context):
    machine = context.fleet.controllers[1]
    machine.kill()
    machine.lose_disk()
    machine.start()
    context.new_ip = machine.ip


@behave.when("another controller is killed and one starts at a new address")
def replace(context):
    machine = context.fleet.controllers[2]
    machine.kill()
    context.fleet.replace(machine)
    context.new_ip = context.fleet.controllers[-1].ip


@behave.then("the group has {count:d} members that all vote")
def whole_group(context, count):
    def complete():
        found = context.fleet.members()
        return len(found) == count and any(
            name.startswith(f"{context.new_ip}-") for name in found
        )

    fleet.wait_until(complete, WAIT_S, f"{count} members")


@behave.then("the document that was acknowledged last is read back")
def acknowledged_last(context):
    assert _read_back(context.fleet) == context.fleet.last_document


@behave.when("all controllers are killed and start again")
def kill_all(context):
    for machine in context.fleet.controllers:
        machine.process.kill()
    for machine in context.fleet.controllers:
        machine.process.wait(10)
        machine.start()


@behave.when(
    "the leader is killed and the backend server announces itself no more"
)
def kill_leader(context):
    cluster = context.fleet
    # The leader tells the others once a second what it knows.
    time.sleep(2.5)
    context.leader = fleet.wait_until(cluster.leader, WAIT_S, "a leader")
    cluster.silent.set()
    time.sleep(0.3)
    context.leader.kill()


@behave.then("a caller is served within {limit:d} s")
def served_soon(context, limit):
    fleet.wait_until(
        lambda: context.fleet.ask(timeout_s=1.0).status == 200,
        limit,
        "an answer under the new leader",
    )


@behave.then("the killed leader comes back")
def leader_back(context):
    context.fleet.silent.clear()
    context.leader.start()
    fleet.wait_until(
        lambda: len(context.fleet.members()) == 5, WAIT_S, "five members"
    )


@behave.when(
    "the disk of a controller takes no more bytes while a document is sent"
)
def disk_full(context):
    cluster = context.fleet
    context.full = next(
        machine
        for machine in cluster.controllers
        if machine is not cluster.leader()
    )
    # A limit on the size of files refuses writes as a full disk does.
    pid = context.full.process.pid
    context.limits = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, context.limits[1]))
    cluster.last_document = _document(20)
    cluster.until_accepted("POST", "/api/config/replace", cluster.last_document)


@behave.when("its disk takes bytes again")
def disk_has_room(context):
    resource.prlimit(
        context.full.process.pid, resource.RLIMIT_FSIZE, context.limits
    )


@behave.when(
    "the disk of each controller in turn takes no more bytes for {seconds:d} s "
    "while documents are sent"
)
def disks_full_in_turn(context, seconds):
    cluster = context.fleet
    for number, machine in enumerate(cluster.controllers):
        pid = machine.process.pid
        limits = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, limits[1]))
        try:
            cluster.last_document = _document(30 + number)
            cluster.until_accepted(
                "POST", "/api/config/replace", cluster.last_document
            )
            time.sleep(seconds)
        finally:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)


@behave.then("another document is acknowledged within {seconds:d} s")
def another_acknowledged(context, seconds):
    cluster = context.fleet
    start_s = time.monotonic()
    cluster.last_document = _document(40)
    cluster.until_accepted("POST", "/api/config/replace", cluster.last_document)
    assert time.monotonic() - start_s <= seconds


@behave.then("the group has {count:d} members that answer")
def answering_members(context, count):
    fleet.wait_until(
        lambda: len(context.fleet.members()) == count,
        WAIT_S,
        f"{count} members that answer",
    )


def _find_process(cluster, name):
    """Returns the machine of a process and the port of its operators."""
    if name == "the router":
        return cluster.router, platform_fleet.READY_PORT
    leader = fleet.wait_until(cluster.leader, WAIT_S, "a leader")
    if name == "the leader":
        return leader, platform_fleet.CONTROL_PORT
    followers = (m for m in cluster.controllers if m is not leader)
    return next(followers), platform_fleet.CONTROL_PORT


@behave.when("a backend server sends a body without end to {path} of {process}")
def send_without_end(context, path, process):
    machine, port = _find_process(context.fleet, process)
    part = b" " * 2**20
    context.sent_mib = context.stored_bytes = 0
    with socket.create_connection((machine.ip, port), timeout=WAIT_S) as conn:
        conn.sendall(
            b"POST %b HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % path.encode()
        )
        try:
            while context.sent_mib < ENDLESS_MIB:
                conn.sendall(b"%x\r\n%b\r\n" % (len(part), part))
                context.sent_mib += 1
                context.stored_bytes = max(
                    context.stored_bytes,
                    _measure_unnamed_files(machine.process.pid),
                )
        except OSError:
            pass


def _measure_unnamed_files(pid):
    """Returns the bytes of open files that have been removed."""
    total = 0
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        # The process may close a file meanwhile.
        with contextlib.suppress(FileNotFoundError):
            if str(path.readlink()).endswith(" (deleted)"):
                total += path.stat().st_size
    return total


@behave.then("the process closes the connection before it has taken {mb:d} MB")
def closed_early(context, mb):
    assert context.sent_mib * 2**20 < mb * 10**6, context.sent_mib


@behave.then("it has stored at most {mib:d} MiB of it")
def stored_at_most(context, mib):
    assert context.stored_bytes <= mib * 2**20, context.stored_bytes


@behave.when("an operator sends {mib:d} MiB to {path} of the leader")
def send_large(context, mib, path):
    leader, port = _find_process(context.fleet, "the leader")
    context.answer = fleet.request(
        port, "POST", path, b" " * (mib * 2**20), host=leader.ip
    )


@behave.then("the operator gets {status:d}")
def operator_gets(context, status):
    assert context.answer.status == status, context.answer
