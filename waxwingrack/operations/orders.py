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
CallKind = order_records.CallKind
EngineCallState = order_records.EngineCallState
EngineCallStates = order_records.EngineCallStates
OrderInputs = order_records.OrderInputs
IssueDecision = order_records.IssueDecision
SendDecision = order_records.SendDecision
ReadBackDecision = order_records.ReadBackDecision
Decision = order_records.Decision
Plan = order_records.Plan

ReplyKind = order_records.ReplyKind
Readout = order_records.Readout
Reply = order_records.Reply
CallResult = order_records.CallResult

divide_ordered_traffic = order_work.divide_ordered_traffic
end_proposal = order_ends.end_proposal
end_order_call = order_ends.end_order_call
end_read_back = order_ends.end_read_back


def decide(
    inputs: OrderInputs, call_states: EngineCallStates, now_ms: int
) -> Plan:
    """Decides what to do about all engines of services that declare orders.

    Args:
      inputs: Replicated state and engines.
      call_states: Memory of this leadership.
      now_ms: Monotonic clock.

    Returns:
      Decisions and the memory in which they are under way.
    """
    planner = order_work.OrderPlanner(inputs, call_states, now_ms)
    for engine in planner.engines:
        planner.follow_up(engine)
    for service in planner.services.values():
        order_choice.plan_service_orders(planner, service)
    rows = planner.rows.finish()
    return Plan(
        EngineCallStates(rows, planner.next_token),
        tuple(planner.decisions),
        immutables.Map(planner.withheld),
    )
