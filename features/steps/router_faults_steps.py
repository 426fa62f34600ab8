"""Steps for unexpected exceptions in a router."""

import behave

from features.steps import router_answers_steps as answers
from features.steps import router_buffers_steps as buffers

_DAEMONS = "waxwingrack.daemons"
_KEYS = "waxwingrack.operations.idempotency"
_LOG = "waxwingrack.core.logs:decision"
PLACES = {
    "before its request is read": f"{_DAEMONS}.exchanges:Exchange.__init__:",
    "at the admission": "waxwingrack.operations.routing:match_route:",
    "at the lookup of a key": f"{_KEYS}:decide_after_lookup:",
    "in the queue": f"{_LOG}:queued",
    "after the claim of a key": f"{_KEYS}:decide_after_claim:",
    "before the first byte": f"{_LOG}:dispatched",
    "before the answer": f"{_DAEMONS}.answers:CallerWriter.start:",
    "before a keyed answer": f"{_DAEMONS}.answers:CallerWriter.start:",
    "behind a keyed answer": (
        f"{_DAEMONS}.answers:BodyRelay.build_stored_answer:"
    ),
    "within the answer": f"{_DAEMONS}.answers:CallerWriter.write:",
}
# Places behind the first byte to the backend server.
_RAN = ("the answer", "a keyed answer")


@behave.given("a router that meets an unexpected exception {place}")
def router_with_fault(context, place):
    context.place = place
    answers.start_world(context, fault=PLACES[place])


@behave.when("the router's caller sends {target} into the fault")
def sends_into_fault(context, target):
    context.key = answers.new_key()
    headers = {"Idempotency-Key": context.key}
    answers.send(
        context, "POST", target, headers if "deposit" in target else {}
    )


@behave.then("the router's caller gets the refusal")
def gets_internal(context):
    answers.gets_refusal(context, 500, "internal", "may_have_run")


@behave.then("the router's caller gets a broken end")
def gets_broken_end(context):
    answers.broken_transfer(context)


@behave.then("the router counted and logged one exception as {event}")
def counted_and_logged(context, event):
    world = context.world
    assert buffers.metric(world, "failures_total") == 1
    logged = [x["event"] for x in world.router.log() if "traceback" in x]
    assert logged == [event], logged


@behave.then(
    "the router holds no grant, queue entry or bytes and serves {target}"
)
def leaves_nothing(context, target):
    world = context.world
    names = ("grants_in_use", "waiting_requests", "buffered_bytes")
    names += ("open_requests", "unconfirmed_key_messages")
    world.wait_for(
        lambda: not any(buffers.metric(world, name) for name in names),
        "nothing left behind",
    )
    ran = context.place.endswith(_RAN)
    assert world.runs() == ran, world.runs()
    world.wait_for(lambda: _all_returned(world), "all grants returned")
    if "deposit" in target:
        _resend(context, target, ran)
    assert world.send("POST", "/sketch/a", body=b"b").status == 200


def _all_returned(world):
    leader = world.leader
    return not leader.wants and len(leader.finished()) == leader.granted


def _resend(context, target, ran):
    """The key of the failed request must not stay claimed."""
    headers = {"Idempotency-Key": context.key}
    answers.send(context, "POST", target, headers)
    if ran:
        answers.gets_refusal(context, 409, "outcome_unknown", "may_have_run")
    else:
        assert context.reply.status == 200, context.reply
    assert context.world.runs() == 1
