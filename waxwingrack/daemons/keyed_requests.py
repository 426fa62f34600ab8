"""Handling of idempotency keys by a router.

The key of a request is looked up before the request waits for a grant, and
claimed once it has one. The outcome is recorded when the request has ended.
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
from waxwingrack.daemons import buffer_reservations
from waxwingrack.daemons import control_link
from waxwingrack.daemons import dialects
from waxwingrack.daemons import dispatch
from waxwingrack.daemons import forwarding
from waxwingrack.daemons import link_pacer
from waxwingrack.daemons import router_metrics
from waxwingrack.daemons import usage_counter
from waxwingrack.operations import hedging
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing
from waxwingrack.operations import saturation

# Maximum wait for the confirmation of a key message while a caller waits.
CONFIRM_WAIT_S = messages.CONTROL_TIMEOUT_MS / 1000
# Delay before a key lookup is repeated because the leader was lost.
LOOKUP_RETRY_S = 0.05


class Host(Protocol):
    """Interface of the router that its exchanges use."""

    settings: data.Settings
    reactor: Any
    rng: random.Random
    tables: routing.RoutingTables | None
    dispatcher: dispatch.Dispatcher
    link: control_link.ControlLink
    forwarder: forwarding.Forwarder
    metrics: router_metrics.RouterMetrics
    dialect: dialects.Dialect
    retry_policy: router_queues.RetryPolicy
    hedge_policy: hedging.Policy
    hedges: hedging.Hedges
    load: saturation.RouterLoad
    buffers: buffer_reservations.BufferReservations
    pacer: link_pacer.LinkPacer
    closing: bool
    keys_in_use: dict[tuple[str, str], str]
    open_requests: collections.Counter
    usage: usage_counter.UsageCounter

    def clock(self) -> int:
        """Returns the monotonic clock in milliseconds."""

    def find_local_retry_ms(self, backlog_ms: float) -> int:
        """Returns when a caller that was refused here should come back."""

    def find_local_wait(
        self, workspace: str, target_ms: int, waited_ms: float = 0.0
    ) -> float | None:
        """Returns the wait for a grant if it is too long for a request."""

    def can_answer_in_time(
        self, service: str, route: str, left_ms: int | None
    ) -> bool:
        """Tells whether a stop leaves the time to answer a request."""

    def note_answer_time(
        self, service: str, route: str, time_ms: float
    ) -> None:
        """Records how long the answer to a request took."""

    def must_close_after(self, req: admission.CallersRequest) -> bool:
        """Decides whether to close a connection after the answer on it."""

    def write_refusal(
        self,
        req: admission.CallersRequest,
        kind: errors.ErrorKind,
        execution: errors.Execution,
        reason: str,
        retry_after_ms: int = 0,
        retry_is_scheduled: bool = False,
        **fields: Any,
    ) -> None:
        """Answers a request with a refusal and logs it."""

    def record_failure(self, name: str, exc: BaseException) -> None:
        """Logs and counts an unexpected exception."""


class ExchangeEndedError(Exception):
    """The exchange has ended: its answer was written or aborted."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An admitted request.

    Attributes:
      workspace: Workspace of the caller.
      service: Service that handles the request.
      route: Route that matches the request.
      body: Complete body.
      queued: Request to queue for a grant.
      key: Idempotency key, None if there is none.
      deadline_ms: Time at which the wait for a grant ends.
    """

    workspace: data.Workspace
    service: data.Service
    route: data.Route
    body: bytes
    queued: data.QueuedRequest
    key: str | None
    deadline_ms: int


class KeyedRequest:
    """The part of an exchange that handles the idempotency key.

    `exchanges.Exchange` sets the attributes and defines the other methods.
    """

    _host: Host
    _req: admission.CallersRequest
    _caller_left: bool
    _cancel_step: Any
    _key: tuple[str, str] | None
    _unconfirmed_calls: list[defer.Deferred]
    _key_claimed: bool
    _request_sent: bool

    async def _look_up_key(self, admitted: AdmittedRequest) -> None:
        self._reserve_key(admitted)
        answer = await self._read_record(admitted)
        match idempotency.decide_after_lookup(answer.state, answer.answer):
            case idempotency.Replay(stored):
                self._replay_answer(stored)
            case idempotency.Refuse(kind, record_unread):
                raise dispatch.RefusedError(kind, "key_record", record_unread)

    def _reserve_key(self, admitted: AdmittedRequest) -> None:
        """Refuses a second request with the same key at this router.

        The leader cannot tell apart two requests of one router incarnation, so
        the second request could use the claim of the first.
        """
        entry = (admitted.workspace.id, admitted.key)
        digest = self._host.keys_in_use.get(entry)
        if digest is not None:
            raise dispatch.RefusedError(
                errors.ErrorKind.REQUEST_STILL_RUNNING
                if digest == admitted.queued.digest
                else errors.ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "key_in_use",
            )
        self._host.keys_in_use[entry] = admitted.queued.digest
        self._key = entry

    async def _read_record(
        self, admitted: AdmittedRequest
    ) -> messages.KeyAnswer:
        host = self._host
        while True:
            call = host.link.send_key_message(
                messages.KeyLookup,
                workspace=admitted.workspace.id,
                key=admitted.key,
                digest=admitted.queued.digest,
            )
            self._cancel_step = call.cancel
            try:
                return await call
            except control_link.LinkLostError:
                pass
            except defer.CancelledError:
                raise dispatch.CallerGoneError from None
            finally:
                self._cancel_step = None
            if (
                not host.link.alive
                or host.closing
                or host.clock() >= admitted.deadline_ms
            ):
                raise dispatch.RefusedError(
                    errors.ErrorKind.CONTROL_UNAVAILABLE, record_unread=True
                )
            if self._caller_left:
                raise dispatch.CallerGoneError
            await _sleep(host.reactor, LOOKUP_RETRY_S)

    async def _claim_key(
        self, admitted: AdmittedRequest, lease: dispatch.Lease
    ) -> bool:
        """Claims the key at the leader before the request is sent.

        Returns:
          True if the request may be sent, False if the claim must be released
          and made again.
        """
        self._key_claimed = True
        try:
            answer = await self._host.link.send_key_message(
                messages.KeyClaim,
                workspace=admitted.workspace.id,
                key=admitted.key,
                digest=admitted.queued.digest,
            )
        except control_link.LinkLostError:
            return False
        match idempotency.decide_after_claim(answer.state, answer.answer):
            case idempotency.Proceed():
                return True
            case idempotency.Replay(stored):
                self._return_grant(lease)
                self._replay_answer(stored)
            case idempotency.Refuse(kind, record_unread):
                self._return_grant(lease)
                raise dispatch.RefusedError(kind, "key_record", record_unread)
        return False

    async def _release_key(self) -> None:
        """Releases the claim of a request that was not sent."""
        confirmed = self._send_claim_end(messages.KeyRelease)
        if not await _wait_until_fired(
            self._host.reactor, confirmed, CONFIRM_WAIT_S
        ):
            raise dispatch.RefusedError(
                errors.ErrorKind.CONTROL_UNAVAILABLE,
                "release_unconfirmed",
                record_unread=True,
            )
        self._unconfirmed_calls.remove(confirmed)

    def _record_outcome(
        self, answer: data.StoredAnswer | None
    ) -> defer.Deferred:
        """Sends the outcome of the request until it is recorded."""
        return self._send_claim_end(messages.KeyOutcome, answer=answer)

    def _settle_claim(self) -> None:
        """Ends a claim that an unexpected exception left behind.

        Otherwise the key would stay claimed, and resends would be refused as
        still running, as long as this router process runs.
        """
        if self._key_claimed and self._request_sent:
            self._send_claim_end(messages.KeyOutcome, answer=None)
        elif self._key_claimed:
            self._send_claim_end(messages.KeyRelease)

    def _send_claim_end(self, kind: type, **fields: Any) -> defer.Deferred:
        """Sends a message that ends the claim until the leader confirms it."""
        workspace, key = self._key
        confirmed = self._host.link.send_key_message(
            kind, persistent=True, workspace=workspace, key=key, **fields
        )
        self._key_claimed = False
        self._keep_key_until_confirmed(confirmed)
        return confirmed

    async def _wait_until_recorded(self, confirmed: defer.Deferred) -> None:
        """Waits for the record, so that an immediate resend finds it."""
        if self._host.link.following:
            await _wait_until_fired(
                self._host.reactor, confirmed, CONFIRM_WAIT_S
            )

    def _keep_key_until_confirmed(self, confirmed: defer.Deferred) -> None:
        self._unconfirmed_calls.append(confirmed)
        # The call fails only when the router stops; the record then stays
        # claimed.
        confirmed.addErrback(
            lambda fault: fault.trap(control_link.LinkLostError)
        )

    def _replay_answer(self, stored: data.StoredAnswer) -> None:
        writer = answers.CallerWriter(self._req, withhold_end=False)
        if not self._caller_left:
            self._set_connection_headers()
            self._req.setHeader(b"X-Idempotent-Replay", b"true")
            writer.start(
                stored.status,
                None,
                tuple(
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in stored.headers
                ),
                len(stored.body),
            )
            writer.write(stored.body)
            writer.finish()
        logs.decision(
            "ended", "stored_answer", **self._log_fields(), status=stored.status
        )
        self._host.metrics.count_end("replayed")
        raise ExchangeEndedError


def _sleep(reactor: Any, timeout_s: float) -> defer.Deferred:
    elapsed: defer.Deferred = defer.Deferred()
    reactor.callLater(timeout_s, elapsed.callback, None)
    return elapsed


async def _wait_until_fired(
    reactor: Any, deferred: defer.Deferred, timeout_s: float
) -> bool:
    """Waits for a Deferred without cancelling it.

    Args:
      reactor: Source of timers.
      deferred: Deferred to wait for.
      timeout_s: Maximum wait.

    Returns:
      Whether it fired in time.
    """
    finished: defer.Deferred = defer.Deferred()
    timer = reactor.callLater(timeout_s, finished.callback, False)

    def handle_fired(value: Any) -> Any:
        if timer.active():
            timer.cancel()
            finished.callback(True)
        return value

    deferred.addBoth(handle_fired)
    return await finished
