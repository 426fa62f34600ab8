"""Steps for the command line, with a fake operators' API."""

import contextlib
import copy
import http.server
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock

import behave

from features.steps import settings_steps
from features.support import fleet
from features.support import loopback
from waxwingrack.commands import process as process_commands
from waxwingrack.daemons import storage
from waxwingrack.load import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 20
OUTCOME = {"accepted": True, "number": 8, "winner": "", "message": ""}
ROLLOUT = {
    "plan": {"id": "move-1", "service": "sketch", "version": "v2"},
    "old_version": "v1",
    "phase": "trial",
    "share": 0.05,
    "elapsed_s": 3.0,
    "reason": "started",
}
STATES = {
    "/v1/status": {
        "leader": "c1",
        "term": 3,
        "number": 7,
        "controllers": [],
        "routers": [
            {"id": "r1", "data_centre": "a", "number": 6, "lagging": True}
        ],
        "backend_servers": [],
        "workspaces": [],
        "data_centres": [],
        "rollouts": [ROLLOUT],
        "refused_digests": [],
    },
    "/v1/rollouts": {"rollouts": [ROLLOUT]},
}
ANSWERS = {
    "accepted": (200, OUTCOME),
    "refused": (
        409,
        OUTCOME | {"accepted": False, "winner": "mary", "message": "too late"},
    ),
    "forbidden": (401, {"message": "the bearer token is missing or wrong"}),
    "invalid": (
        400,
        {"errors": [{"path": "$.plan.service", "rule": "is unknown"}]},
    ),
    "unavailable": (503, {"message": "not committed in time"}),
    "broken": (500, {"message": "unexpected error; see the log"}),
    "no leader": (421, {"leader": None}),
}


def _environment(weight):
    document = copy.deepcopy(settings_steps.ENVIRONMENT)
    document["workspaces"][0]["weight"] = weight
    return document


def _fake_controller(context, script):
    """Starts a server that plays a script; its last answer is repeated."""
    answers = script.split(" then ")

    class Handler(http.server.BaseHTTPRequestHandler):
        def _answer(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length) or "null")
            if body is not None:
                context.sent.append((self.command, self.path, body))
            name = answers.pop(0) if len(answers) > 1 else answers[0]
            if name == "lost":
                self.close_connection = True
                return
            if name == "follower":
                # The leader is not among the addresses given to the command.
                host, port = context.leader.server_address
                leader = {"id": "c9", "host": host, "port": port}
                status, value = 421, {"leader": leader}
            else:
                status, value = ANSWERS[name]
            if status == 200 and body is None:
                value = _state(self.path)
            blob = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(blob)))
            self.end_headers()
            self.wfile.write(blob)

        do_GET = do_PUT = do_POST = _answer  # noqa: N815

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    return server


def _state(path):
    if path == "/v1/environment":
        return {"number": 7, "environment": _environment(1.0)}
    return STATES[path]


def _folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return pathlib.Path(folder.name)


def _run(context, line, timeout=TIMEOUT_S):
    document = getattr(context, "document_file", None)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "waxwingrack",
            *shlex.split(line.replace("{document}", str(document))),
        ],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=timeout,
    )
    context.code, context.output = done.returncode, done.stdout + done.stderr


@behave.given("fake controllers that answer {first} and {second}")
def fake_controllers(context, first, second):
    context.sent, context.controllers = [], []
    context.leader = _fake_controller(context, "accepted")
    for script in (first, second):
        if script == "none":
            context.controllers.append(f"127.0.0.1:{loopback.free_ports(1)[0]}")
            continue
        port = _fake_controller(context, script).server_address[1]
        context.controllers.append(f"127.0.0.1:{port}")
    folder = _folder(context)
    context.token_file = folder / "token"
    context.token_file.write_text("operator-token\n")
    context.document_file = folder / "environment.json"
    context.document_file.write_text(json.dumps(_environment(2)))


@behave.when(
    'the operators\' command "{line}" runs with a time limit of {limit:d} s'
)
def run_operators_command(context, line, limit):
    controllers = ",".join(context.controllers)
    _run(
        context,
        f"{line} --controllers {controllers} --timeout {limit} "
        f"--token-file {context.token_file}",
    )


@behave.when("the operators' command apply runs with its output closed")
def run_with_closed_output(context):
    reader, writer = os.pipe()
    os.close(reader)
    try:
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "waxwingrack",
                "apply",
                str(context.document_file),
                "--controllers",
                context.controllers[0],
                "--token-file",
                str(context.token_file),
            ],
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            stdout=writer,
            stderr=subprocess.PIPE,
            text=True,
            timeout=TIMEOUT_S,
        )
    finally:
        os.close(writer)
    context.code, context.output = done.returncode, done.stderr


@behave.when('the command line "{line}" runs')
def run_line(context, line):
    _run(context, line)


@behave.when('the command line "{line}" runs for at most {limit:d} s')
def run_line_within(context, line, limit):
    _run(context, line, limit)


@behave.then('the command exits with {code:d} and prints "{text}"')
def command_exits(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@behave.then(
    "every change sent carries the same operation id, at least {count:d} times"
)
def same_operation(context, count):
    ids = [body["operation"] for _, _, body in context.sent]
    assert len(ids) >= count, ids
    assert len(set(ids)) == 1, ids


@behave.then("the operation id was printed")
def operation_printed(context):
    operation = context.sent[0][2]["operation"]
    assert f"operation: {operation}" in context.output, context.output


@behave.then("the change sent was {method} {path} with")
def change_sent(context, method, path):
    assert context.sent == [(method, path, json.loads(context.text))], (
        context.sent
    )


@behave.then("the change sent expects number {number:d}")
def change_expects(context, number):
    assert [body["expected"] for _, _, body in context.sent] == [number]


@behave.given("a command line document with {content}")
def command_document(context, content):
    environment = _environment(1)
    process = copy.deepcopy(settings_steps.SETTINGS["router"])
    match content:
        case "a valid environment":
            text = json.dumps(environment)
        case "valid settings":
            text = json.dumps(process)
        case "a zero weight":
            text = json.dumps(_environment(0))
        case "no callers' port":
            del process["callers"]
            text = json.dumps(process)
        case "broken text":
            text = "{"
    context.document_file = _folder(context) / "document.json"
    context.document_file.write_text(text)


@behave.given("command line settings of a running {role}")
def running_settings(context, role):
    folder = _folder(context)
    (folder / "shared.key").write_text("key")
    (folder / "token").write_text("operator-token")
    ports = loopback.free_ports(3)
    own = list(map(fleet.address, ports))
    document = {
        "role": role,
        "node_id": "c1",
        "data_centre": "a",
        "operators": own[1],
        "controllers": [{"id": "c1", "control": own[0], "operators": own[1]}],
        "shared_key_file": str(folder / "shared.key"),
        "shutdown_delay_s": 0.1,
    }
    if role == "router":
        document |= {"callers": own[2], "node_id": "r1"}
        document["controllers"][0]["operators"] = own[2]
    else:
        document |= {
            "control": own[0],
            "data_folder": str(folder / "data"),
            "operator_token_file": str(folder / "token"),
        }
    context.port = ports[1]
    context.document_file = folder / "settings.json"
    context.document_file.write_text(json.dumps(document))


@behave.given("the command line settings have {fault}")
def faulty_settings(context, fault):
    folder = context.document_file.parent
    match fault:
        case "a port in use":
            port = json.loads(context.document_file.read_text())["callers"]
            sock = socket.create_server(("127.0.0.1", port["port"]))
            context.add_cleanup(sock.close)
        case "an empty key file":
            (folder / "shared.key").write_text("\n")
        case "an empty token file":
            (folder / "token").write_text("")
        case "a data folder in use":
            held = storage.lock_folder(folder / "data")
            context.add_cleanup(held.close)
        case _:
            raise ValueError(fault)


@behave.when(
    "the {role} command builds its process and the VM then sleeps for "
    "{time_s:d} s"
)
def build_and_sleep(context, role, time_s):
    cfg = settings.load(str(context.document_file)).unwrap()
    commands = {
        "router": process_commands.RouterCommand,
        "controller": process_commands.ControllerCommand,
    }
    built = commands[role]().build(cfg)
    still_ns = time.monotonic_ns()
    boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    # CLOCK_MONOTONIC stands still during a sleep, CLOCK_BOOTTIME does not.
    clocks_ns = {time.CLOCK_MONOTONIC: still_ns, time.CLOCK_BOOTTIME: boot_ns}
    with (
        mock.patch("time.monotonic_ns", lambda: still_ns),
        mock.patch("time.clock_gettime_ns", clocks_ns.__getitem__),
    ):
        before_ms = built.clock()
        clocks_ns[time.CLOCK_BOOTTIME] += time_s * 1_000_000_000
        context.slept_ms = built.clock() - before_ms


@behave.then("the clock of the built process shows {time_s:d} s more")
def clock_went_on(context, time_s):
    assert context.slept_ms == time_s * 1000, context.slept_ms


@contextlib.contextmanager
def running(context, *command):
    """Runs a process with the settings file until the end of the block.

    Args:
      context: Context of behave.
      *command: Words before the settings file.

    Yields:
      The process, which answers at its operators' port.
    """
    process = subprocess.Popen(
        [*command, str(context.document_file)],
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        fleet.wait_until(
            lambda: (
                fleet.request(context.port, "GET", "/healthz").status == 200
            ),
            TIMEOUT_S,
            "the process answers",
        )
        yield process
    finally:
        process.kill()
        process.communicate()


PROGRAM = (sys.executable, "-m", "waxwingrack")


@behave.when("the {role} process is started and gets {name} once it answers")
def start_and_signal(context, role, name):
    with running(context, *PROGRAM, role) as process:
        process.send_signal(signal.Signals[name])
        _, context.output = process.communicate(timeout=TIMEOUT_S)
    context.code = process.returncode


@behave.then("the process exits with {code:d}")
def process_exits(context, code):
    assert context.code == code, (context.code, context.output)
