"""Client of the operators' API.

It tries the controllers in turn, follows hints to the leader, and repeats a
change with the same operation id while its outcome is unknown.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import json
import os
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.core import data

# Longer than a controller waits for the commit of a change.
ATTEMPT_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
# Pause after all controllers were tried, longer than their heartbeat interval.
ROUND_PAUSE_S = 0.2

MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Controllers to call and how to call them.

    Attributes:
      controllers: Operators' addresses of the controllers.
      token: Operators' bearer token.
      timeout_s: Time limit for a call with all its attempts.
      notify: Called with a line of text about an attempt.
    """

    controllers: tuple[data.Address, ...]
    token: str
    timeout_s: float
    notify: Callable[[str], None] = lambda line: None


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of one attempt; `body` is None if no answer arrived."""

    status: int
    body: Any
    sent: bool
    text: str


async def call(
    target: Target, method: str, path: str, body: dict | None = None
) -> Any:
    """Calls the leader.

    Args:
      target: Controllers to call and the operators' token.
      method: HTTP method.
      path: Path of the call.
      body: JSON body; a body makes the call a change.

    Returns:
      JSON body of the answer with status 200.

    Raises:
      CommandError: The call was refused or invalid, no controller could be
        reached, or the outcome of a change is unknown.
    """
    deadline_s = time.monotonic() + target.timeout_s
    untried = collections.deque(target.controllers)
    may_have_run, last_failure = False, "no time for an attempt"
    notified: set[str] = set()
    while time.monotonic() < deadline_s:
        if not untried:
            await asyncio.sleep(ROUND_PAUSE_S)
            untried.extend(target.controllers)
        address = untried.popleft()
        attempt = await _send_request(target, address, method, path, body)
        if attempt.status == MISDIRECTED:
            _try_leader_next(target, attempt.body, untried)
            last_failure = f"{address} does not lead"
            continue
        if attempt.status and attempt.status < 500:
            return _unwrap_answer(attempt)
        last_failure = f"{address}: {attempt.text}"
        may_have_run |= attempt.sent and body is not None
        if last_failure not in notified:
            notified.add(last_failure)
            target.notify(f"{last_failure}; trying again")
    if may_have_run:
        raise CommandError(
            ExitCode.UNKNOWN,
            f"the outcome is unknown ({last_failure}); "
            "send the command again with the same --operation",
        )
    raise CommandError(
        ExitCode.UNREACHABLE,
        f"no leading controller can be reached ({last_failure})",
    )


async def _send_request(
    target: Target,
    address: data.Address,
    method: str,
    path: str,
    body: dict | None,
) -> _Attempt:
    # Imported late so that routers and controllers, which import this module,
    # start faster.
    import treq
    from twisted.internet import reactor

    host = f"[{address.host}]" if ":" in address.host else address.host
    json_arguments = {} if body is None else {"json": body}
    try:
        response = await _to_future(
            treq.request(
                method,
                f"http://{host}:{address.port}{path}",
                headers={"Authorization": f"Bearer {target.token}"},
                agent=client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S),
                timeout=ATTEMPT_TIMEOUT_S,
                **json_arguments,
            )
        )
        content = await asyncio.wait_for(
            _to_future(response.content()), ATTEMPT_TIMEOUT_S
        )
        return _parse_answer(response.code, content)
    except error.ConnectError as exc:
        return _Attempt(0, None, False, _describe_connect_error(exc))
    except (
        error.ConnectionLost,
        error.ConnectionDone,
        client.ResponseFailed,
        client.PartialDownloadError,
        defer.CancelledError,
        TimeoutError,
    ) as exc:
        return _Attempt(0, None, True, f"no answer ({type(exc).__name__})")


def _describe_connect_error(exc: error.ConnectError) -> str:
    # Twisted's message repeats itself; the message of the system is enough.
    if isinstance(exc.osError, int):
        return os.strerror(exc.osError)
    return str(exc) or type(exc).__name__


def _to_future(deferred: defer.Deferred) -> asyncio.Future:
    return deferred.asFuture(asyncio.get_running_loop())


def _parse_answer(status: int, content: bytes) -> _Attempt:
    try:
        body = json.loads(content)
    except ValueError:
        body = {"message": content.decode(errors="replace")[:200]}
    if not isinstance(body, dict):
        body = {"message": str(body)}
    return _Attempt(status, body, True, body.get("message", f"HTTP {status}"))


def _try_leader_next(
    target: Target, body: dict, untried: collections.deque[data.Address]
) -> None:
    leader = body.get("leader")
    if isinstance(leader, dict) and {"host", "port"} <= leader.keys():
        address = data.Address(leader["host"], leader["port"])
        target.notify(f"the leader is {leader.get('id')} at {address}")
        # The hint may be stale, so the other controllers stay queued.
        untried.append(address)
        untried.rotate(1)


def _unwrap_answer(attempt: _Attempt) -> Any:
    if attempt.status == 200:
        return attempt.body
    if attempt.status == 400:
        faults = [
            f"{fault.get('path')}: {fault.get('rule')}"
            for fault in attempt.body.get("errors", ())
        ]
        raise CommandError(ExitCode.INVALID, "\n".join(faults) or attempt.text)
    text = attempt.body.get("message") or f"HTTP {attempt.status}"
    if attempt.body.get("winner"):
        text += f"; number {attempt.body.get('number')} was set by "
        text += attempt.body["winner"]
    raise CommandError(ExitCode.REFUSED, text)
