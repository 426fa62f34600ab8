"""Decides which model engine is ordered to load which version, and when.

The engines of a service that declares `orders` are ordered to load the versions
that its rollouts need. An engine order is recorded in the replicated log before
it is sent, so a new leader knows every order that may have reached an engine. A
leader reads an engine back before it issues an order to it.

* An engine that refuses old fencing numbers may get a newer order at once.
* An engine that ignores the number never has two outstanding orders. An order
  of unknown outcome stays outstanding until a read-back shows that order or a
  new incarnation. It is not sent again, since a second copy could arrive after
  a later order.

`EngineCallStates` is kept in memory for one period of leadership. All other
inputs come from the replicated state and from announcements. The implementation
is in the modules `order_records`, `order_work`, `order_choice` and
`order_ends`; their public names are available here.
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
Issue = order_records.Issue
Send = order_records.Send
ReadBack = order_records.ReadBack
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
    """Decides on the next calls to the engines of services with orders.

    Args:
      inputs: Replicated state and engines.
      call_states: Call states of this period of leadership.
      now_ms: Monotonic clock.

    Returns:
      The decisions and the call states in which they are under way.
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
