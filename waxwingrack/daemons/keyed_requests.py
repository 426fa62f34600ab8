"""Idempotency keys of a router's requests.

A request with a key is looked up before it waits, claimed after its grant and
recorded when it has ended.
"""

import collections
import dataclasses
import random
from typing import Any
from typing import Protocol

from twisted.internet import defer

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import logs
from waxwingrack.core import messages
from waxwingrack.daemons import admission
from waxwingrack.daemons import answers
from waxwingrack.daemons import control_link
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import held_bytes
from waxwingrack.daemons import router_metrics
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing

# Longest wait for the confirmation of a key message while a caller waits.
CONFIRM_WAIT_S = messages.CONTROL_TIMEOUT_MS / 1000
# Pause before a key is looked up again after the leader changed.
LOOKUP_AGAIN_S = 0.05


class Host(Protocol):
    """What a request needs from its router."""

    settings: data.Settings
    reactor: Any
    rng: random.Random
    tables: routing.Tables | None
    dispatcher: dispatch.Dispatcher
    link: control_link.ControlLink
    forwarder: forwarding.Forwarder
    metrics: router_metrics.RouterMetrics
    dialect: dialects.Dialect
    retry_policy: router_queues.RetryPolicy
    held: held_bytes.HeldBytes
    closing: bool
    keys: dict[tuple[str, str], str]
    open_by_workspace: collections.Counter

    def clock(self) -> int:
        """Returns the monotonic clock in milliseconds."""

    def write_refusal(
        self,
        req: admission.CallersRequest,
        kind: errors.ErrorKind,
        stated: errors.Execution,
        reason: str,
        retry_after_ms: int = 0,
        **fields: Any,
    ) -> None:
        """Answers a request with a refusal and logs it."""

    def failed(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""


class EndedError(Exception):
    """The answer has been written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """What is known of a request once it is admitted."""

    workspace: data.Workspace
    service: data.Service
    route: data.Route
    body: bytes
    want: data.QueuedRequest
    key: str | None
    deadline_ms: int


class KeyedRequest:
    """The part of a request that deals with its idempotency key.

    `exchanges.Exchange` sets the attributes and provides the other methods.
    """

    _host: Host
    _req: admission.CallersRequest
    _gone: bool
    _cancel: Any
    _key: tuple[str, str] | None
    _unconfirmed: list[defer.Deferred]
    _claimed: bool
    _sent: bool

    async def _look_up(self, admitted: Admitted) -> None:
        self._take_key(admitted)
        answer = await self._read_record(admitted)
        match idempotency.after_lookup(answer.state, answer.answer):
            case idempotency.Replay(stored):
                self._replay(stored)
            case idempotency.Refuse(kind, record_unread):
                raise dispatch.RefusedError(kind, "key_record", record_unread)

    def _take_key(self, admitted: Admitted) -> None:
        """Keeps a second request with the key away from this router's claim.

        The leader cannot tell two requests of one router incarnation apart.
        """
        entry = (admitted.workspace.id, admitted.key)
        digest = self._host.keys.get(entry)
        if digest is not None:
            raise dispatch.RefusedError(
                errors.ErrorKind.REQUEST_STILL_RUNNING
                if digest == admitted.want.digest
                else errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "key_in_use",
            )
        self._host.keys[entry] = admitted.want.digest
        self._key = entry

    async def _read_record(self, admitted: Admitted) -> messages.KeyAnswer:
        host = self._host
        while True:
            call = host.link.call(
                messages.KeyLookup,
                workspace=admitted.workspace.id,
                key=admitted.key,
                digest=admitted.want.digest,
            )
            self._cancel = call.cancel
            try:
                return await call
            except control_link.LinkLostError:
                pass
            except defer.CancelledError:
                raise dispatch.CallerGoneError from None
            finally:
                self._cancel = None
            if (
                not host.link.alive
                or host.closing
                or host.clock() >= admitted.deadline_ms
            ):
                raise dispatch.RefusedError(
                    errors.ErrorKind.CONTROL_UNAVAILABLE, record_unread=True
                )
            if self._gone:
                raise dispatch.CallerGoneError
            await _sleep(host.reactor, LOOKUP_AGAIN_S)

    async def _claim(self, admitted: Admitted, lease: dispatch.Lease) -> bool:
        """Records the key before the request is sent.

        Returns:
          True if the request may be sent, False if the claim has to be
          released and made again.
        """
        self._claimed = True
        try:
            answer = await self._host.link.call(
                messages.KeyClaim,
                workspace=admitted.workspace.id,
                key=admitted.key,
                digest=admitted.want.digest,
            )
        except control_link.LinkLostError:
            return False
        match idempotency.after_claim(answer.state, answer.answer):
            case idempotency.Proceed():
                return True
            case idempotency.Replay(stored):
                self._return(lease)
                self._replay(stored)
            case idempotency.Refuse(kind, record_unread):
                self._return(lease)
                raise dispatch.RefusedError(kind, "key_record", record_unread)
        return False

    async def _release(self) -> None:
        """Removes a claim whose request was not sent."""
        released = self._tell(messages.KeyRelease)
        if not await _until(self._host.reactor, released, CONFIRM_WAIT_S):
            raise dispatch.RefusedError(
                errors.ErrorKind.CONTROL_UNAVAILABLE,
                "release_unconfirmed",
                record_unread=True,
            )
        self._unconfirmed.remove(released)

    def _record(self, answer: data.StoredAnswer | None) -> defer.Deferred:
        """Records how the request ended, however long that takes."""
        return self._tell(messages.KeyOutcome, answer=answer)

    def _settle_claim(self) -> None:
        """Ends a claim that an unexpected exception left behind.

        Without this the key would stay claimed, and its resends refused as
        still running, as long as the router runs.
        """
        if self._claimed and self._sent:
            self._tell(messages.KeyOutcome, answer=None)
        elif self._claimed:
            self._tell(messages.KeyRelease)

    def _tell(self, kind: type, **fields: Any) -> defer.Deferred:
        """Sends the end of a claim until the leader confirms it."""
        workspace, key = self._key
        told = self._host.link.call(
            kind, persistent=True, workspace=workspace, key=key, **fields
        )
        self._claimed = False
        self._keep_key_until(told)
        return told

    async def _wait_recorded(self, recorded: defer.Deferred) -> None:
        """Lets a caller that asks again at once find the record."""
        if self._host.link.following:
            await _until(self._host.reactor, recorded, CONFIRM_WAIT_S)

    def _keep_key_until(self, confirmed: defer.Deferred) -> None:
        self._unconfirmed.append(confirmed)
        # The router stops: the record stays with its claim.
        confirmed.addErrback(
            lambda fault: fault.trap(control_link.LinkLostError)
        )

    def _replay(self, stored: data.StoredAnswer) -> None:
        side = answers.CallerSide(self._req, hold_end=False)
        if not self._gone:
            self._set_connection_headers()
            self._req.setHeader(b"X-Idempotent-Replay", b"true")
            side.start(
                stored.status,
                None,
                tuple(
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in stored.headers
                ),
                len(stored.body),
            )
            side.write(stored.body)
            side.finish()
        logs.decision(
            "ended", "stored_answer", **self._fields(), status=stored.status
        )
        self._host.metrics.ended("replayed")
        raise EndedError


def _sleep(reactor: Any, seconds: float) -> defer.Deferred:
    pause: defer.Deferred = defer.Deferred()
    reactor.callLater(seconds, pause.callback, None)
    return pause


async def _until(reactor: Any, awaited: defer.Deferred, seconds: float) -> bool:
    """Waits for a Deferred without cancelling it.

    Args:
      reactor: Source of timers.
      awaited: What to wait for.
      seconds: Longest wait.

    Returns:
      Whether it fired in time.
    """
    done: defer.Deferred = defer.Deferred()
    timer = reactor.callLater(seconds, done.callback, False)

    def fired(value: Any) -> Any:
        if timer.active():
            timer.cancel()
            done.callback(True)
        return value

    awaited.addBoth(fired)
    return await done
