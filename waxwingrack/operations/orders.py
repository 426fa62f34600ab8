"""Orders to model engines: which engine loads which version, and when.

A service that declares `orders` has its engines moved to the versions that its
rollouts ask for. An order is recorded in the replicated log before it is sent,
so a new leader knows of every order that may have reached an engine. It reads
each engine back before it issues an order to it.

* An engine that refuses old fencing numbers may get a newer order at once.
* An engine that ignores the number never has two outstanding orders. An order
  of unknown outcome stays outstanding until a read-back shows it or shows a new
  incarnation. It is not sent again: a second copy could arrive after a later
  order.

`Contacts` is the memory of one period of leadership. Every other input is the
replicated state or comes from announcements.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

import immutables

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_orders
from waxwingrack.operations import rollouts

# Pause after a failed call, so that an engine that cannot be reached costs few
# log entries and calls.
RETRY_MS = 1_000
# Tolerance for sums of shares such as 3 * 0.1.
_EPSILON = 1e-9

_OUTSTANDING = data.OrderState.OUTSTANDING
_APPLIED = data.OrderState.APPLIED


# ---------------------------------------------------------------------------
# Records
# ---------------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A model engine as it announces itself now.

    Attributes:
      server_id: Backend server id.
      incarnation: Incarnation.
      address: Where it takes orders.
      service: Service.
      version: Announced version.
      slots: Announced slots.
      in_use: Requests running on it.
      checks_fencing: Whether it refuses old fencing numbers.
      placeable: Whether it may get new work, its version apart.
    """

    server_id: str
    incarnation: str
    address: data.Address
    service: str
    version: str
    slots: int
    in_use: int = 0
    checks_fencing: bool = False
    placeable: bool = True


class Call(enum.StrEnum):
    """What is under way for an engine."""

    NONE = "none"
    PROPOSAL = "proposal"
    SEND = "send"
    READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """What a leader remembers of an engine.

    Attributes:
      incarnation: Announced incarnation that the other attributes are about.
      version: Announced version.
      call: What is under way.
      token: Number of that call; answers to other calls are stale.
      pending: Version of the order that is being recorded, or empty.
      read: Whether the engine was read back since anything was uncertain.
      retry_ms: Time before which nothing is tried again.
      sent: Highest fencing number sent by this leader, to any incarnation.
      lost: Fencing number of an order that was probably lost, to an engine
        that refuses old numbers.
      fencing: Fencing number that `since_ms` belongs to.
      since_ms: Time at which this leader first saw that order.
      seen_fencing: Highest fencing number that the engine has shown.
    """

    incarnation: str
    version: str = ""
    call: Call = Call.NONE
    token: int = 0
    pending: str = ""
    read: bool = False
    retry_ms: int = 0
    sent: int = 0
    lost: int = 0
    fencing: int = 0
    since_ms: int = 0
    seen_fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Contacts:
    """Memory of one period of leadership.

    Attributes:
      rows: `Contact` by server id.
      next_token: Number of the next call.
    """

    rows: immutables.Map = immutables.Map()
    next_token: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What decisions are made from.

    Attributes:
      state: Replicated state.
      engines: Announced engines that stay.
      issuer: This period of leadership, unique among all.
    """

    state: data.ReplicatedState
    engines: tuple[Engine, ...]
    issuer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Issue:
    """Decision to record an order in the replicated log."""

    command: commands.IssueOrder
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Decision to send a recorded order to its engine, once."""

    order: data.EngineOrder
    address: data.Address
    timeout_s: float
    token: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBack:
    """Decision to ask an engine for the orders that it has applied."""

    server_id: str
    address: data.Address
    timeout_s: float
    token: int
    reason: str


Decision = Issue | Send | ReadBack


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of `decide`.

    Attributes:
      contacts: Memory with the decisions under way.
      decisions: What to do now.
      withheld: Why wanted orders were not decided on, by service.
    """

    contacts: Contacts
    decisions: tuple[Decision, ...]
    withheld: immutables.Map


class ReplyKind(enum.StrEnum):
    """How a call to an engine ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Readout:
    """An engine's own account of its orders.

    Attributes:
      incarnation: Its incarnation.
      fencing: Highest fencing number that it has seen.
      applied: Fencing numbers of the orders that it has applied.
    """

    incarnation: str
    fencing: int
    applied: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """End of a call to an engine.

    Attributes:
      kind: How it ended.
      reason: Text for the log.
      readout: What the engine answered, if it could be read.
    """

    kind: ReplyKind
    reason: str
    readout: Readout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """Memory after the end of a call, and the result to record, if any."""

    contacts: Contacts
    command: commands.RecordOrder | None = None


# ---------------------------------------------------------------------------
# Decisions
# ---------------------------------------------------------------------------


def decide(view: View, contacts: Contacts, now_ms: int) -> Plan:
    """Decides what to do about all engines of services that declare orders.

    Args:
      view: Replicated state and engines.
      contacts: Memory of this leadership.
      now_ms: Monotonic clock.

    Returns:
      Decisions and the memory in which they are under way.
    """
    work = _Work(view, contacts, now_ms)
    for engine in work.engines:
        work.follow_up(engine)
    for service in work.services.values():
        _move(work, service)
    rows = work.rows.finish()
    return Plan(
        Contacts(rows, work.next_token),
        tuple(work.decisions),
        immutables.Map(work.withheld),
    )


def wanted(state: data.ReplicatedState) -> immutables.Map:
    """Returns the `data.VersionShare` of each service that declares orders."""
    if state.environment is None:
        return immutables.Map()
    shares = rollouts.shares(state)
    return immutables.Map(
        {
            service.id: shares[service.id]
            for service in state.environment.services
            if service.orders is not None
        }
    )


class _Work:
    """Mutable copy of the memory for the length of one call of `decide`."""

    def __init__(self, view: View, contacts: Contacts, now_ms: int):
        self.state = view.state
        self.issuer = view.issuer
        self.now_ms = now_ms
        self.shares = wanted(view.state)
        self.services = {
            service.id: service
            for service in getattr(view.state.environment, "services", ())
            if service.id in self.shares
        }
        self.engines = sorted(
            (item for item in view.engines if item.service in self.services),
            key=lambda item: item.server_id,
        )
        self.next_token = contacts.next_token
        self.rows = self._refreshed(contacts).mutate()
        self.decisions: list[Decision] = []
        self.withheld: dict[str, str] = {}
        # Version being loaded, by server id.
        self.loading = {
            item.server_id: self._ordered(item)
            for item in self.engines
            if self._is_loading(item)
        }

    def _refreshed(self, contacts: Contacts) -> immutables.Map:
        announced = {engine.server_id for engine in self.engines}
        # A row with an order is kept: without it, the leader would not know
        # any more whether it has sent the order.
        rows = {
            server_id: row
            for server_id, row in contacts.rows.items()
            if server_id in announced
            or server_id in self.state.orders
            or row.call is not Call.NONE
        }
        for engine in self.engines:
            row = rows.get(engine.server_id, Contact(engine.incarnation))
            if row.incarnation != engine.incarnation:
                row = dataclasses.replace(
                    row,
                    incarnation=engine.incarnation,
                    read=False,
                    lost=0,
                    seen_fencing=0,
                )
            if row.version != engine.version:
                # The engine may have taken an order in the meantime.
                row = dataclasses.replace(
                    row, version=engine.version, read=False
                )
            order = self.state.orders.get(engine.server_id)
            if order is not None and row.fencing != order.fencing:
                row = dataclasses.replace(
                    row, fencing=order.fencing, since_ms=self.now_ms
                )
            rows[engine.server_id] = row
        return immutables.Map(rows)

    def order(self, engine: Engine) -> data.EngineOrder | None:
        """Returns the latest order to an engine."""
        return self.state.orders.get(engine.server_id)

    def settings(self, engine: Engine) -> data.OrderSettings:
        """Returns the order settings of an engine's service."""
        return self.services[engine.service].orders

    def _is_loading(self, engine: Engine) -> bool:
        row, order = self.rows[engine.server_id], self.order(engine)
        if row.pending:
            return True
        if order is None or order.incarnation != engine.incarnation:
            return False
        limit_ms = self.settings(engine).load_timeout_s * 1000
        if order.fencing == row.lost or self.now_ms - row.since_ms >= limit_ms:
            return False
        return order.state is _OUTSTANDING or (
            order.state is _APPLIED and order.version != engine.version
        )

    def _ordered(self, engine: Engine) -> str:
        pending = self.rows[engine.server_id].pending
        return pending or self.order(engine).version

    def heading(self, engine: Engine) -> str:
        """Returns the version that an engine loads, or else announces.

        It is empty while an order that was probably lost may still be taken. A
        newer order then makes the engine refuse the lost one.
        """
        row, order = self.rows[engine.server_id], self.order(engine)
        if (
            order is not None
            and order.state is _OUTSTANDING
            and order.fencing == row.lost
            and not row.pending
        ):
            return ""
        return self.loading.get(engine.server_id, engine.version)

    def serving(self, engine: Engine) -> bool:
        """Tells whether an engine gets requests of its service."""
        share = self.shares[engine.service]
        return (
            engine.placeable
            and engine.server_id not in self.loading
            and engine.version in _with_traffic(share)
        )

    def _begin(self, engine: Engine, call: Call, **changes) -> int:
        token, self.next_token = self.next_token, self.next_token + 1
        row = self.rows[engine.server_id]
        self.rows[engine.server_id] = dataclasses.replace(
            row, call=call, token=token, **changes
        )
        return token

    def follow_up(self, engine: Engine) -> None:
        """Sends a recorded order, or reads back one of unknown outcome."""
        row, order = self.rows[engine.server_id], self.order(engine)
        if order is None or order.state is not _OUTSTANDING:
            return
        if row.call is not Call.NONE or self.now_ms < row.retry_ms:
            return
        if (
            order.issuer == self.issuer
            and order.fencing > row.sent
            and order.incarnation == engine.incarnation
        ):
            token = self._begin(engine, Call.SEND, sent=order.fencing)
            self.decisions.append(
                Send(
                    order,
                    engine.address,
                    self.settings(engine).answer_timeout_s,
                    token,
                    "the order is recorded on a majority",
                )
            )
        elif not row.read or not self._may_follow(engine):
            self.read_back(engine, f"the outcome of {order.fencing} is unknown")

    def read_back(self, engine: Engine, reason: str) -> None:
        """Decides to read an engine back."""
        token = self._begin(engine, Call.READ)
        self.decisions.append(
            ReadBack(
                engine.server_id,
                engine.address,
                self.settings(engine).answer_timeout_s,
                token,
                reason,
            )
        )

    def issue(self, engine: Engine, version: str, reason: str) -> None:
        """Decides to record an order."""
        row = self.rows[engine.server_id]
        token = self._begin(engine, Call.PROPOSAL, pending=version, retry_ms=0)
        command = commands.IssueOrder(
            service=engine.service,
            server_id=engine.server_id,
            incarnation=engine.incarnation,
            version=version,
            checks_fencing=engine.checks_fencing,
            issuer=self.issuer,
            seen_fencing=row.seen_fencing,
        )
        self.decisions.append(Issue(command, token, reason))

    def being_read(self, engine: Engine) -> bool:
        """Tells whether an engine is read back for a new order."""
        call = self.rows[engine.server_id].call
        return call is Call.READ and self._may_follow(engine)

    def _may_follow(self, engine: Engine) -> bool:
        order = self.order(engine)
        return order is None or replicated_orders.may_follow(
            order, engine.checks_fencing
        )

    def obstacle(self, engine: Engine, version: str) -> str:
        """Returns why an engine cannot get an order now, or ""."""
        row, order = self.rows[engine.server_id], self.order(engine)
        if not self._may_follow(engine):
            return f"order {order.fencing} to {engine.server_id} is outstanding"
        overtakes = (
            order is not None
            and order.state is _OUTSTANDING
            and order.version != version
        )
        if row.call is not Call.NONE and not (
            overtakes and row.call is Call.SEND
        ):
            return f"a call to {engine.server_id} is under way"
        if self.now_ms < row.retry_ms and not overtakes:
            return f"a call to {engine.server_id} failed just now"
        return ""


def _with_traffic(share: data.VersionShare) -> frozenset[str]:
    """Returns the versions that get requests."""
    if share.candidate and share.share > 0:
        return frozenset((share.current, share.candidate))
    return frozenset((share.current,))


def _move(work: _Work, service: data.Service) -> None:
    """Decides on the orders of one service."""
    engines = [item for item in work.engines if item.service == service.id]
    share = work.shares[service.id]
    if share.candidate in _with_traffic(share):
        _move_share(work, service, engines, share)
    strays = [
        engine
        for engine in engines
        if work.heading(engine) not in _with_traffic(share)
    ]
    for engine in _ranked(work, strays):
        _try(work, engine, engines, share.current, "runs no wanted version")


def _move_share(
    work: _Work,
    service: data.Service,
    engines: list[Engine],
    share: data.VersionShare,
) -> None:
    """Moves engines until the candidate has its share of the usable slots."""
    usable = [engine for engine in engines if engine.placeable]
    need = share.share * _slots(usable) - _EPSILON
    have = _slots(
        engine for engine in usable if work.heading(engine) == share.candidate
    )
    donors = [
        engine for engine in usable if work.heading(engine) != share.candidate
    ]
    for engine in _ranked(work, donors):
        if have >= need:
            return
        reason = f"share {share.share:g}, {have} slots have the version"
        if _try(work, engine, engines, share.candidate, reason):
            have += engine.slots


def _ranked(work: _Work, engines: Iterable[Engine]) -> Iterator[Engine]:
    """Puts engines first whose loading leaves the least work without capacity.

    An engine that does not serve costs nothing. Among the others the requests
    that run on it count, then the slots that are lost while it loads.
    """
    return iter(
        sorted(
            engines,
            key=lambda item: (
                work.serving(item),
                item.in_use,
                item.slots,
                item.server_id,
            ),
        )
    )


def _try(
    work: _Work,
    engine: Engine,
    engines: list[Engine],
    version: str,
    reason: str,
) -> bool:
    """Orders a version from an engine, or reads the engine back first.

    Returns:
      False if the order is withheld.
    """
    if work.being_read(engine):
        work.loading[engine.server_id] = version
        return True
    obstacle = work.obstacle(engine, version) or _limit(work, engine, engines)
    if obstacle:
        work.withheld.setdefault(engine.service, obstacle)
        return False
    reason = f"{reason}, {engine.in_use} of {engine.slots} slots in use"
    if work.rows[engine.server_id].read:
        work.issue(engine, version, reason)
    else:
        work.read_back(engine, f"not read back yet; {reason}")
    # An engine that is read back gets the order next, so it counts already.
    work.loading[engine.server_id] = version
    return True


def _limit(work: _Work, engine: Engine, engines: list[Engine]) -> str:
    """Returns which limit forbids to let an engine load, or ""."""
    most = work.state.environment.max_loading
    if len(work.loading.keys() - {engine.server_id}) >= most:
        return f"{most} engines load already (max_loading)"
    if not work.serving(engine):
        return ""
    left = _slots(item for item in engines if work.serving(item)) - engine.slots
    least = work.settings(engine).min_serving_share * _slots(engines)
    if left < least - _EPSILON:
        return f"{left} of at least {least:g} slots would serve"
    return ""


def _slots(engines: Iterable[Engine]) -> int:
    return sum(engine.slots for engine in engines)


# ---------------------------------------------------------------------------
# Ends of calls
# ---------------------------------------------------------------------------


def proposed(
    contacts: Contacts,
    server_id: str,
    token: int,
    committed: bool,
    now_ms: int,
) -> Contacts:
    """Notes the end of the proposal of an order or of a result.

    Args:
      contacts: Memory.
      server_id: Engine.
      token: Token of the call.
      committed: Whether the command is committed and had an effect.
      now_ms: Monotonic clock.

    Returns:
      The memory. If it is not known that the command took effect, the engine
      is read back before the next order.
    """
    row = contacts.rows.get(server_id)
    if row is None or row.token != token:
        return contacts
    row = dataclasses.replace(row, call=Call.NONE, pending="")
    if not committed:
        row = dataclasses.replace(row, read=False, retry_ms=now_ms + RETRY_MS)
    return _with(contacts, server_id, row)


def answered(
    contacts: Contacts,
    order: data.EngineOrder,
    token: int,
    reply: Reply,
    now_ms: int,
) -> Noted:
    """Notes the end of a sent order.

    Args:
      contacts: Memory.
      order: The order.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record. An unknown outcome records nothing.
    """
    row = contacts.rows.get(order.server_id)
    if row is None or row.token != token:
        return Noted(contacts)
    if reply.kind is ReplyKind.UNKNOWN:
        row = dataclasses.replace(
            row, call=Call.NONE, retry_ms=now_ms + RETRY_MS
        )
        if order.checks_fencing:
            row = dataclasses.replace(row, lost=order.fencing)
        else:
            row = dataclasses.replace(row, read=False)
        return Noted(_with(contacts, order.server_id, row))
    state = _RESULTS[reply.kind]
    if state is not _APPLIED:
        row = dataclasses.replace(row, retry_ms=now_ms + RETRY_MS)
    return _record(contacts, row, order, state, reply)


_RESULTS = {
    ReplyKind.ANSWERED: _APPLIED,
    ReplyKind.REFUSED: data.OrderState.REFUSED,
    ReplyKind.NOT_SENT: data.OrderState.NOT_SENT,
}


def read_back(
    contacts: Contacts,
    server_id: str,
    order: data.EngineOrder | None,
    token: int,
    reply: Reply,
    now_ms: int,
) -> Noted:
    """Notes the end of a read-back.

    Args:
      contacts: Memory.
      server_id: Engine.
      order: Latest order to the engine in the replicated state, or None.
      token: Token of the call.
      reply: How the call ended.
      now_ms: Monotonic clock.

    Returns:
      The memory and the result to record, if the engine shows one.
    """
    row = contacts.rows.get(server_id)
    if row is None or row.token != token:
        return Noted(contacts)
    row = dataclasses.replace(row, call=Call.NONE)
    seen = reply.readout
    # Only the announced incarnation counts: a late announcement of an earlier
    # one must not end the order to the present one.
    if seen is None or seen.incarnation != row.incarnation:
        row = dataclasses.replace(row, read=False, retry_ms=now_ms + RETRY_MS)
        return Noted(_with(contacts, server_id, row))
    row = dataclasses.replace(row, read=True, seen_fencing=_highest(seen))
    if order is None or order.state is not _OUTSTANDING:
        return Noted(_with(contacts, server_id, row))
    state = _shown(order, seen)
    if state is not None:
        reason = f"read back: incarnation {seen.incarnation} at {seen.fencing}"
        reply = dataclasses.replace(reply, reason=reason)
        return _record(contacts, row, order, state, reply)
    row = dataclasses.replace(row, retry_ms=now_ms + RETRY_MS)
    if order.checks_fencing:
        row = dataclasses.replace(row, lost=order.fencing)
    return Noted(_with(contacts, server_id, row))


def _shown(order: data.EngineOrder, seen: Readout) -> data.OrderState | None:
    """Returns the result of an order that an engine's account shows."""
    if seen.incarnation != order.incarnation:
        return data.OrderState.RESTARTED
    if order.fencing in seen.applied:
        return _APPLIED
    if order.checks_fencing and seen.fencing > order.fencing:
        return data.OrderState.REFUSED
    return None


def _record(
    contacts: Contacts,
    row: Contact,
    order: data.EngineOrder,
    state: data.OrderState,
    reply: Reply,
) -> Noted:
    # The call goes on as the proposal of the result, under the same token.
    row = dataclasses.replace(row, call=Call.PROPOSAL)
    command = commands.RecordOrder(
        server_id=order.server_id,
        fencing=order.fencing,
        state=state,
        reason=reply.reason,
        seen_fencing=_highest(reply.readout) if reply.readout else 0,
    )
    return Noted(_with(contacts, order.server_id, row), command)


def _highest(seen: Readout) -> int:
    return max((seen.fencing, *seen.applied))


def _with(contacts: Contacts, server_id: str, row: Contact) -> Contacts:
    return dataclasses.replace(contacts, rows=contacts.rows.set(server_id, row))
