"""Decisions of a router on requests with idempotency keys."""

import dataclasses
import re

from returns import result

from waxwingrack.core import data
from waxwingrack.core import errors

MAX_KEY_CHARACTERS = 200
# Largest answer body that is stored to answer resent requests, in bytes.
MAX_ANSWER_BYTES = 64 * 1024

_KEY_PATTERN = re.compile(r"[0-9]{1,12}-[\x21-\x7e]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """The request may be processed further."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The router returns the stored answer."""

    answer: data.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The router refuses the request.

    Attributes:
      kind: Kind of the error that the caller gets.
      record_unread: Whether the record could not be read.
    """

    kind: errors.ErrorKind
    record_unread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseFirst:
    """The claim may be recorded, so it must be released before a new one."""


Decision = Proceed | Replay | Refuse | ReleaseFirst

_REFUSALS = {
    data.KeyState.RUNNING: errors.ErrorKind.REQUEST_STILL_RUNNING,
    data.KeyState.CLAIMED: errors.ErrorKind.REQUEST_STILL_RUNNING,
    data.KeyState.MAY_HAVE_RUN: errors.ErrorKind.OUTCOME_UNKNOWN,
    data.KeyState.MISMATCH: errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
    data.KeyState.EXPIRED: errors.ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
    data.KeyState.INVALID: errors.ErrorKind.IDEMPOTENCY_KEY_INVALID,
    data.KeyState.STORE_FULL: errors.ErrorKind.IDEMPOTENCY_STORE_FULL,
}


def check_key(
    key: str | None, idempotent: bool
) -> result.Result[str | None, errors.ErrorKind]:
    """Checks the header `Idempotency-Key`.

    Args:
      key: Value of the header, None if it is missing.
      idempotent: Whether the route is idempotent.

    Returns:
      Success with the key, or with None for an idempotent route without one;
      Failure with the kind of the error.
    """
    if key is None:
        if idempotent:
            return result.Success(None)
        return result.Failure(errors.ErrorKind.IDEMPOTENCY_KEY_REQUIRED)
    if len(key) > MAX_KEY_CHARACTERS or not _KEY_PATTERN.fullmatch(key):
        return result.Failure(errors.ErrorKind.IDEMPOTENCY_KEY_INVALID)
    return result.Success(key)


def decide_after_lookup(
    state: data.KeyState, answer: data.StoredAnswer | None
) -> Decision:
    """Decides what follows the answer to a `KeyLookup`.

    Args:
      state: State of the record.
      answer: Stored answer, if there is one.

    Returns:
      Proceed, Replay or Refuse.
    """
    if state is data.KeyState.ABSENT:
        return Proceed()
    return _decide_on_record(state, answer)


def decide_after_claim(
    state: data.KeyState, answer: data.StoredAnswer | None
) -> Decision:
    """Decides what follows the answer to a `KeyClaim`.

    Args:
      state: CLAIMED if this router may send the request, otherwise the reason
        why not.
      answer: Stored answer, if there is one.

    Returns:
      Proceed, Replay, Refuse or ReleaseFirst. A claim that the leader could
      not confirm may still be committed, so it is released first.
    """
    if state is data.KeyState.CLAIMED:
        return Proceed()
    if state in (data.KeyState.UNAVAILABLE, data.KeyState.ABSENT):
        return ReleaseFirst()
    return _decide_on_record(state, answer)


def is_confirmed(state: data.KeyState) -> bool:
    """Returns whether a `KeyOutcome` or `KeyRelease` is committed.

    Args:
      state: State in the answer of the leader.

    Returns:
      False if the message must be sent again.
    """
    return state is not data.KeyState.UNAVAILABLE


def _decide_on_record(
    state: data.KeyState, answer: data.StoredAnswer | None
) -> Decision:
    if state is data.KeyState.ANSWERED and answer is not None:
        if answer.truncated:
            return Refuse(errors.ErrorKind.ANSWER_NOT_KEPT)
        return Replay(answer)
    if state in _REFUSALS:
        return Refuse(_REFUSALS[state])
    return Refuse(errors.ErrorKind.CONTROL_UNAVAILABLE, record_unread=True)
