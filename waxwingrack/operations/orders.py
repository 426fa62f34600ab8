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
replicated state or comes from announcements. The parts are in the modules
`order_records`, `order_work`, `order_choice` and `order_ends`, whose public
names are repeated here.
"""

import immutables

from waxwingrack.operations import order_choice
from waxwingrack.operations import order_ends
from waxwingrack.operations import order_records
from waxwingrack.operations import order_work

RETRY_MS = order_records.RETRY_MS

Engine = order_records.Engine
Call = order_records.Call
Contact = order_records.Contact
Contacts = order_records.Contacts
View = order_records.View
Issue = order_records.Issue
Send = order_records.Send
ReadBack = order_records.ReadBack
Decision = order_records.Decision
Plan = order_records.Plan

ReplyKind = order_records.ReplyKind
Readout = order_records.Readout
Reply = order_records.Reply
Noted = order_records.Noted

wanted = order_work.wanted
proposed = order_ends.proposed
answered = order_ends.answered
read_back = order_ends.read_back


def decide(view: View, contacts: Contacts, now_ms: int) -> Plan:
    """Decides what to do about all engines of services that declare orders.

    Args:
      view: Replicated state and engines.
      contacts: Memory of this leadership.
      now_ms: Monotonic clock.

    Returns:
      Decisions and the memory in which they are under way.
    """
    work = order_work.Work(view, contacts, now_ms)
    for engine in work.engines:
        work.follow_up(engine)
    for service in work.services.values():
        order_choice.move(work, service)
    rows = work.rows.finish()
    return Plan(
        Contacts(rows, work.next_token),
        tuple(work.decisions),
        immutables.Map(work.withheld),
    )
