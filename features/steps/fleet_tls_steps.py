"""Steps for a fleet whose processes speak TLS."""

import collections
import json
import shutil
import socket
import ssl
import threading

import behave

from features.support import certificates
from features.support import fleet


def deposit(context, router, key):
    """Confirms a deposit through a router."""
    return context.fleet.call(
        router, "POST", "/booking/deposit", b"x", {"Idempotency-Key": key}
    )


def runs(context):
    """Returns how often each key ran."""
    lines = (
        context.runs.read_text().splitlines() if context.runs.exists() else ()
    )
    return collections.Counter(line.split()[-1] for line in lines)


def refused(context, name):
    """Returns how many peers a process refused."""
    router = name.startswith("r")
    metric = "router_control_refused_total" if router else "refused_peers_total"
    return context.fleet.metric(name, metric)


def logged(context, name):
    """Returns the reasons of refused peers from the log of a process."""
    return [
        line["reason"]
        for line in context.fleet.members[name].decisions()
        if line["event"] == "handshake_failed"
    ]


def log_names(context, name, reason):
    """Waits for a refusal as the last one in the log of a process."""
    fleet.wait_until(
        lambda: any(reason in line for line in logged(context, name)[-1:]),
        5,
        f"{reason} as the last refusal in the log of {name}",
    )


@behave.when("a deposit is confirmed through the fleet over TLS")
def confirm_deposit(context):
    context.key = fleet.key("tls")
    context.answer = deposit(context, "r1", context.key)


@behave.then("it ran once and no process of the fleet refused a peer")
def ran_once(context):
    assert context.answer.status == 200, context.answer
    assert runs(context) == {context.key: 1}, runs(context)
    for name in context.fleet.controllers + context.fleet.routers:
        assert refused(context, name) == 0, logged(context, name)


def context_of(files):
    """Returns a TLS context that does not check the server."""
    found = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    found.check_hostname, found.verify_mode = False, ssl.CERT_NONE
    if files:
        found.load_cert_chain(files["certificate"], files["private_key"])
    return found


def issue(context, certificate, name):
    """Writes the files that a scenario names."""
    authority, days = context.fleet.authority, 1
    if "another authority" in certificate:
        authority = certificates.Authority("other")
    if "expired" in certificate:
        days = -1
    return authority.issue(context.fleet.folder, name, days)


@behave.when("a peer with {certificate} connects to a controller of the fleet")
def peer_connects(context, certificate):
    context.refused_before = refused(context, "c1")
    port = context.fleet.members["c1"].ports["control"]
    files = None
    if "certificate" in certificate and not certificate.startswith("no "):
        files = issue(context, certificate, "stranger")
    with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
        if certificate == "no TLS":
            conn.sendall(b"GET / HTTP/1.1\r\n\r\n")
            context.got = conn.makefile("rb").read()
            return
        try:
            with context_of(files).wrap_socket(conn) as secure:
                context.got = secure.recv(1)
        except (ssl.SSLError, ConnectionError):
            context.got = b""


@behave.when("a peer with {certificate} goes away during the handshake")
def peer_goes_away(context, certificate):
    context.refused_before = refused(context, "c1")
    port = context.fleet.members["c1"].ports["control"]
    files = issue(context, certificate, "impatient")
    with (
        socket.create_connection(("127.0.0.1", port), timeout=10) as conn,
        context_of(files).wrap_socket(conn) as secure,
    ):
        secure.sendall(
            b"GET / HTTP/1.1\r\nHost: c1\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        assert b" 101 " in secure.recv(4_096)


@behave.then("the controller logs that and counts no refused peer")
def logs_departure(context):
    def is_logged():
        return any(
            line["event"] == "handshake_abandoned"
            for line in context.fleet.members["c1"].decisions()
        )

    fleet.wait_until(is_logged, 5, "a line about the handshake")
    assert refused(context, "c1") == context.refused_before


@behave.then('the controller refuses the peer and counts and logs "{reason}"')
def controller_refused(context, reason):
    assert b"HTTP" not in context.got, context.got
    fleet.wait_until(
        lambda: refused(context, "c1") == context.refused_before + 1,
        5,
        "one more refused peer",
    )
    log_names(context, "c1", reason)


@behave.when("a router with {certificate} starts in the fleet")
def router_starts(context, certificate):
    context.counted = collections.Counter(
        {name: refused(context, name) for name in context.fleet.controllers}
    )
    context.name = f"r{8 + certificate.count('expired')}"
    files = issue(context, certificate, context.name)
    context.fleet.add_router(context.name, tls=files).start()


@behave.then(
    "that router refuses callers as {kind} and {observers} count and log "
    '"{reason}"'
)
def router_refuses(context, kind, observers, reason):
    for name in observers.split():
        fleet.wait_until(
            lambda name=name: refused(context, name) > context.counted[name],
            20,
            f"a refusal at {name}",
        )
        log_names(context, name, reason)
    answer = context.fleet.call(context.name, "GET", "/booking/free")
    assert answer.status == 503, answer
    assert answer.error["kind"] == kind, answer
    assert answer.error["execution"] == "not_run", answer
    context.fleet.members[context.name].kill()


class Deposits:
    """Deposits one after the other while processes restart."""

    def __init__(self, context):
        self.keys, self.lost = [], []
        self._context = context
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        """Ends with the deposit that is under way."""
        self._stop.set()
        self._thread.join(60)
        assert not self._thread.is_alive()

    def _run(self):
        while not self._stop.is_set():
            key = fleet.key(f"rotation-{len(self.keys)}")
            self.keys.append(key)
            fleet.wait_until(lambda key=key: self._done(key), 30, key)
            self._stop.wait(0.02)

    def _done(self, key):
        """Sends like a caller behind the balancer; true at the last answer."""
        routers = self._context.fleet.routers
        serving = [x for x in routers if self._context.fleet.serving(x)]
        if not serving:
            return False
        answer = deposit(
            self._context, serving[len(self.keys) % len(serving)], key
        )
        if answer.status == 200 and answer.whole:
            return True
        if "retry-after" in answer.headers:
            return False
        self.lost.append(answer)
        return True


@behave.when(
    "the files of the fleet are replaced by those of a second authority that "
    "it trusts, with a restart of one process at a time under deposits"
)
def replace_files(context):
    members = context.fleet.members
    _reconnect_between_files(context)
    context.deposits = Deposits(context)
    try:
        for name in context.fleet.controllers + context.fleet.routers:
            context.second.issue(context.fleet.folder, name)
        for name in context.fleet.controllers + context.fleet.routers:
            members[name].terminate()
            assert members[name].process.wait(20) == 0
            members[name].start()
            fleet.wait_until(
                lambda name=name: context.fleet.ready(name), 20, name
            )
    finally:
        context.deposits.stop()


def _reconnect_between_files(context):
    """Breaks the links of a router whose key does not fit its certificate.

    A router that read its files again would lose its control link for ever.
    """
    new = context.second.issue(context.fleet.folder, "new")["certificate"]
    shutil.copy(new, context.fleet.folder / "r1.certificate.pem")
    before = followed(context)
    for link in context.fleet.proxy.links:
        if link.startswith("r1-"):
            context.fleet.proxy.change(link, reset=True)
    fleet.wait_until(
        lambda: followed(context) > before, 20, "r1 connected again"
    )


def followed(context):
    """Returns how often a router found a leader."""
    lines = context.fleet.members["r1"].decisions()
    return sum(line["event"] == "leader_followed" for line in lines)


@behave.then("every deposit was answered and ran once")
def deposits_ran_once(context):
    deposits = context.deposits
    assert not deposits.lost, deposits.lost
    assert len(deposits.keys) > 10, deposits.keys
    ran = runs(context)
    wrong = {key: ran[key] for key in deposits.keys if ran[key] != 1}
    assert not wrong, json.dumps(wrong)


@behave.then("only certificates of the second authority are in use")
def second_in_use(context):
    files = context.second.issue(context.fleet.folder, "client")
    found = context_of(files)
    found.load_verify_locations(cadata=context.second.pem.decode())
    found.verify_mode = ssl.CERT_REQUIRED
    for name in context.fleet.controllers:
        port = context.fleet.members[name].ports["control"]
        with socket.create_connection(("127.0.0.1", port), timeout=10) as conn:
            found.wrap_socket(conn).close()
