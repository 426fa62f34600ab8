"""Handlers of the leader for routers' messages about idempotency keys."""

import asyncio
import functools
import time
from typing import Any

from returns import result

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.daemons import leader as leader_module
from waxwingrack.daemons import replica_driver
from waxwingrack.daemons import router_sessions
from waxwingrack.operations import replicated

# A key that is dated further ahead of the wall clock is refused. One wrong date
# would raise the oldest date accepted in its workspace above all later keys.
MAX_KEY_AHEAD_S = 300

_ABSENT = data.KeyState.ABSENT


@leader_module.HANDLERS.register(messages.KeyLookup)
def _handle_lookup(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: messages.KeyLookup,
) -> None:
    if _is_dated_ahead(message.key):
        _send_answer(session, message, data.KeyState.INVALID)
        return
    lookup = _find_record(leader, message)
    _send_answer(session, message, lookup.state, lookup.answer)


@leader_module.HANDLERS.register(messages.KeyClaim)
def _handle_claim(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: messages.KeyClaim,
) -> None:
    if _is_dated_ahead(message.key):
        _send_answer(session, message, data.KeyState.INVALID)
        return
    command = commands.ClaimKey(
        workspace=message.workspace,
        key=message.key,
        digest=message.digest,
        owner=session.ref.incarnation,
    )
    _propose(leader, session, message, command)


@leader_module.HANDLERS.register(messages.KeyOutcome)
def _handle_outcome(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: messages.KeyOutcome,
) -> None:
    command = commands.RecordKeyOutcome(
        workspace=message.workspace,
        key=message.key,
        owner=session.ref.incarnation,
        answer=message.answer,
    )
    _propose(leader, session, message, command)


@leader_module.HANDLERS.register(messages.KeyRelease)
def _handle_release(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: messages.KeyRelease,
) -> None:
    command = commands.ReleaseKey(
        workspace=message.workspace,
        key=message.key,
        owner=session.ref.incarnation,
    )
    _propose(leader, session, message, command)


def _propose(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: Any,
    command: Any,
) -> None:
    fut = leader.services.driver.propose(command)
    fut.add_done_callback(
        functools.partial(_handle_commit, leader, session, message)
    )


def _handle_commit(
    leader: leader_module.Leader,
    session: router_sessions.Session,
    message: Any,
    fut: "asyncio.Future[replica_driver.Outcome]",
) -> None:
    match fut.result():
        case result.Success(data.KeyRecord() as record):
            _send_answer(session, message, record.state, record.answer)
        case result.Success(data.KeyState.RUNNING) if isinstance(
            message, messages.KeyClaim
        ):
            # The state machine does not know which owners are still alive.
            lookup = _find_record(leader, message)
            _send_answer(session, message, lookup.state, lookup.answer)
        case result.Success(data.KeyState() as state):
            _send_answer(session, message, state)
        case _:
            _send_answer(session, message, data.KeyState.UNAVAILABLE)


def _find_record(
    leader: leader_module.Leader,
    message: messages.KeyLookup | messages.KeyClaim,
) -> replicated.KeyLookupResult:
    return replicated.lookup_key(
        leader.state,
        message.workspace,
        message.key,
        message.digest,
        leader.live_incarnations(),
    )


def _send_answer(
    session: router_sessions.Session,
    message: Any,
    state: data.KeyState,
    answer: data.StoredAnswer | None = None,
) -> None:
    session.conn.send(messages.KeyAnswer(message.call, state, answer))


def _is_dated_ahead(key: str) -> bool:
    date = key.partition("-")[0]
    return date.isdigit() and int(date) > time.time() + MAX_KEY_AHEAD_S
