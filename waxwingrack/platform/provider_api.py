"""Calls to the platform's provider: names, bodies and the client."""

from collections.abc import Callable
from typing import Any

from twisted.web import http

from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.daemons import engine_calls
from waxwingrack.operations import duties

DUTY_HOLDER = "Duty-Holder"
FENCE_TOKEN = "Fence-Token"
TOO_MANY_REQUESTS = 429
# Time limit of a call, in seconds. Two calls and the pause between them fit
# into the time that is left before a usage report is late.
CALL_TIMEOUT_S = 2.0

# Path and body of a call, by its type.
BODIES: registry.Registry[type, Callable[[Any], tuple[bytes, dict]]] = (
    registry.Registry("body of a call")
)
_OUTCOMES = {
    http.OK: duties.Outcome.ACCEPTED,
    http.CONFLICT: duties.Outcome.FENCED,
    TOO_MANY_REQUESTS: duties.Outcome.THROTTLED,
}


@BODIES.register(duties.UsageCall)
def _build_usage(call: duties.UsageCall) -> tuple[bytes, dict]:
    counts = {row.workspace: row.count for row in call.counts}
    return b"/usage", {"windowSeq": call.window, "counts": counts}


@BODIES.register(duties.ScaleCall)
def _build_scale(call: duties.ScaleCall) -> tuple[bytes, dict]:
    return b"/scale", {
        "service": call.service,
        "zone": call.data_centre,
        "desiredCount": call.count,
    }


def read_outcome(status: int) -> duties.Outcome:
    """Returns what the status of an answer says; the body has no meaning.

    Args:
      status: HTTP status.

    Returns:
      The outcome. A status of the server's side leaves open whether the call
      has been or will be executed.
    """
    if status in _OUTCOMES:
        return _OUTCOMES[status]
    is_refusal = 400 <= status < 500 and status != http.REQUEST_TIMEOUT
    outcomes = duties.Outcome
    return outcomes.REFUSED if is_refusal else outcomes.UNANSWERED


class ProviderClient:
    """Client for the calls of one period of leadership."""

    def __init__(self, address: data.Address, holder: str):
        """Creates a client without calls.

        Args:
          address: Address of the provider.
          holder: Name of this process.
        """
        self._address = address
        self._holder = holder
        self._clients: set[engine_calls.EngineClient] = set()

    def abort(self) -> None:
        """Resets the connections of all calls."""
        for client in tuple(self._clients):
            client.abort()

    async def call(
        self, call: Any, token: int, may_send: Callable[[], bool]
    ) -> tuple[duties.Outcome, str]:
        """Makes one call on a connection of its own.

        Args:
          call: Call of a type in `BODIES`.
          token: Fencing token.
          may_send: Called immediately before the call is written; if it returns
            False, nothing is written.

        Returns:
          The outcome and its description for the log.
        """
        path, body = BODIES[type(call)](call)
        client = engine_calls.EngineClient(may_send)
        self._clients.add(client)
        try:
            answer = await client.call(
                "POST",
                self._address,
                CALL_TIMEOUT_S,
                body,
                path,
                {DUTY_HOLDER: self._holder, FENCE_TOKEN: str(token)},
            )
        finally:
            self._clients.discard(client)
        if isinstance(answer, engine_calls.FailedCall):
            outcomes = duties.Outcome
            return (
                outcomes.UNANSWERED
                if answer.may_have_sent
                else outcomes.NOT_SENT
            ), answer.reason
        return read_outcome(answer.status), f"status {answer.status}"
