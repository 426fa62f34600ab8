"""Steps for the decisions of a router without sockets."""

import dataclasses
import json
import re
import time

import behave
import immutables
from returns import result

from features.steps import router_fakes
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.operations import announcements
from waxwingrack.operations import costs
from waxwingrack.operations import idempotency
from waxwingrack.operations import router_queues
from waxwingrack.operations import routing
from waxwingrack.operations import stopping


def as_flag(text):
    return {"yes": True, "no": False}[text]


@behave.when(
    "the router decides on a retry after {fault} with repeatable {repeatable}, "
    "tries {tries:d}, started {started} and budget {budget:g}"
)
def decide_retry(context, fault, repeatable, tries, started, budget):
    attempt = router_queues.Attempt(
        as_flag(repeatable), router_queues.Fault(fault), tries, as_flag(started)
    )
    _, context.decision = router_queues.decide_retry(
        immutables.Map({"sketch": budget}), "sketch", attempt
    )


@behave.then("the router's retry decision is {retry} because of {reason}")
def retry_is(context, retry, reason):
    expected = router_queues.RetryDecision(as_flag(retry), reason)
    assert context.decision == expected, context.decision


@behave.when("the router serves {count:d} requests that all fail with {fault}")
def serve_failing(context, count, fault):
    budgets, context.repeated = immutables.Map(), 0
    for _ in range(count):
        budgets = router_queues.earn_retry(budgets, "sketch")
        for tries in (1, 2, 3):
            attempt = router_queues.Attempt(
                True, router_queues.Fault(fault), tries, False
            )
            budgets, decision = router_queues.decide_retry(
                budgets, "sketch", attempt
            )
            if not decision.retry:
                break
            context.repeated += 1


@behave.then("the router repeated between {low:d} and {high:d} of them")
def repeated_between(context, low, high):
    assert low <= context.repeated <= high, context.repeated


@behave.when(
    "the router refuses with {kind}, sent {sent} and record unread {unread}"
)
def refuse(context, kind, sent, unread):
    context.execution = router_queues.decide_execution(
        errors.ErrorKind(kind), as_flag(sent), as_flag(unread)
    )


@behave.then("the router's refusal says {execution}")
def refusal_says(context, execution):
    assert context.execution == execution, context.execution


def make_want(sequence):
    return data.QueuedRequest(sequence, "planners", "sketch", "read")


@behave.when('the router\'s queue sees "{events}"')
def queue_sees(context, events):
    queues, context.wants, context.refused = router_queues.Queues(), [], 0
    for event in events.split():
        name, _, rest = event.partition(":")
        if name == "report":
            queues, wants = router_queues.take_unreported(queues)
            context.wants += [want.sequence for want in wants]
        elif name == "connect":
            queues = router_queues.clear_reported(queues)
        elif name == "remove":
            queues, _ = router_queues.remove_request(queues, int(rest))
        else:
            sequence, _, place = rest.partition("@")
            outcome = router_queues.enqueue(
                queues,
                make_want(int(sequence)),
                1000,
                4,
                int(place) if place else None,
            )
            context.refused += isinstance(outcome, result.Failure)
            queues = outcome.value_or(queues)


@behave.then('the router\'s queue reports "{wants}" and refuses {refused:d}')
def queue_reports(context, wants, refused):
    assert context.wants == [int(want) for want in wants.split()], context.wants
    assert context.refused == refused, context.refused


@behave.when(
    "the router's queue takes {count:d} requests and {granted:d} of the "
    "reported ones are granted"
)
def queue_takes(context, count, granted):
    queues = router_queues.Queues()
    for sequence in range(count):
        queues = router_queues.enqueue(
            queues, make_want(sequence), 1000, count
        ).unwrap()
    queues, first = router_queues.take_unreported(queues)
    for want in first[:granted]:
        queues, _ = router_queues.remove_request(queues, want.sequence)
    _, later = router_queues.take_unreported(queues)
    context.reported = (len(first), len(later))


@behave.then(
    "the router's queue reported {first:d} wants first and {later:d} later"
)
def queue_reported(context, first, later):
    assert context.reported == (first, later), context.reported


@behave.when("a router's grant echoes {echo:d} and the clock shows {now:d}")
def grant_echoes(context, echo, now):
    context.valid = router_queues.is_grant_valid(echo, now)


@behave.then("the router's grant is {validity}")
def grant_is(context, validity):
    assert context.valid == (validity == "valid"), context.valid


@behave.when("the router reads {state} with answer {answer} after a {message}")
def read_record(context, state, answer, message):
    stored = None
    if answer != "none":
        stored = data.StoredAnswer(200, (), b"", answer == "truncated")
    decide = {
        "lookup": idempotency.decide_after_lookup,
        "claim": idempotency.decide_after_claim,
    }[message]
    context.step = decide(data.KeyState(state), stored)


@behave.then("the router's key decision is {decision}")
def key_decision_is(context, decision):
    match context.step:
        case idempotency.Refuse(kind, unread):
            seen = f"{kind} unread" if unread else str(kind)
        case idempotency.Proceed():
            seen = "proceed"
        case idempotency.Replay():
            seen = "replay"
        case idempotency.ReleaseFirst():
            seen = "release"
    assert seen == decision, seen


@behave.when(
    'the router checks the key "{key}" on an idempotent route {idempotent}'
)
@behave.when('the router checks the key "" on an idempotent route {idempotent}')
def check_key(context, idempotent, key=None):
    if key:
        key = re.sub(r"\{x\*(\d+)\}", lambda m: "x" * int(m.group(1)), key)
    context.outcome = idempotency.check_key(key, as_flag(idempotent))


@behave.then("the router's key check gives {outcome}")
def key_check_gives(context, outcome):
    match context.outcome:
        case result.Failure(kind):
            assert kind == outcome, kind
        case result.Success():
            assert outcome == "accepted", outcome


@behave.when("the router matches {method} {path}")
def match_route(context, method, path):
    tables = routing.build_tables(1, router_fakes.environment())
    context.outcome = routing.match_route(tables, method, path)


@behave.when("a router that compares text gets {path}")
def match_text(context, path):
    routes = tuple(
        data.Route(name, prefix, idempotent=idempotent, single_attempt=True)
        for name, prefix, idempotent in (
            ("submit", "/jobs/", False),
            ("list", "/jobs/list/", True),
            ("cancel", "/jobs/list/cancel/", False),
            # As environments of earlier releases were stored.
            ("old", "/old", True),
        )
    )
    environment = router_fakes.environment()
    (service, *others) = environment.services
    tables = routing.build_tables(
        1,
        dataclasses.replace(
            environment,
            services=(dataclasses.replace(service, routes=routes), *others),
        ),
        path_matching=data.PathMatching.TEXT,
    )
    context.outcome = routing.match_route(tables, "POST", path)


@behave.when("{count} paths of {size} segments are matched by {matching:w}")
def match_long_paths(context, count, size, matching):
    count, size = (int(text.replace(",", "")) for text in (count, size))
    tables = routing.build_tables(
        1,
        router_fakes.environment(),
        path_matching=data.PathMatching(matching),
    )
    path = "/sketch/" + "a/" * size
    started_s = time.monotonic()
    for _ in range(count):
        match_is_read = routing.match_route(tables, "GET", path)
        assert match_is_read.unwrap().route.id == "read"
    context.seconds = time.monotonic() - started_s


@behave.then("that took less than {limit:d} seconds")
def took_less(context, limit):
    assert context.seconds < limit, context.seconds


@behave.then("its requests {repeat}")
def match_repeats(context, repeat):
    match context.outcome:
        case result.Failure():
            seen = "match nothing"
        case result.Success(found):
            seen = (
                "may be repeated"
                if found.route.idempotent
                else "run at most once"
            )
    assert seen == repeat, context.outcome


@behave.then("the router's match is {outcome}")
def match_is(context, outcome):
    match context.outcome:
        case result.Failure(kind):
            assert kind == outcome, kind
        case result.Success(found):
            assert found.route.id == outcome, found


@behave.when(
    'the router measures {meter} of "{content}" in chunks "{chunks}" after '
    "{elapsed:d} ms"
)
def measure(context, meter, content, chunks, elapsed):
    found = costs.create_meter(data.CostMeter(meter), content)
    for chunk in chunks.replace("\\n", "\n").split(","):
        found.feed(chunk.encode())
    context.cost = found.cost(elapsed)


@behave.then("the router's cost is {cost:g}")
def cost_is(context, cost):
    assert context.cost == cost, context.cost


@behave.when("the router checks an announcement with {changes}")
def check_announcement(context, changes):
    document = announcement() | json.loads(changes)
    context.outcome = announcements.parse_announcement(
        "s1", json.dumps(document).encode(), router_fakes.environment()
    )


def announcement():
    fields = dataclasses.asdict(
        data.Announcement(
            "s1", "i1", data.Address("127.0.0.1", 1), "sketch", "v1", "a", 2
        )
    )
    del fields["server_id"]
    return fields | fields.pop("address")


@behave.then('the router\'s faults of the announcement are "{faults}"')
@behave.then('the router\'s faults of the announcement are ""')
def faults_are(context, faults=""):
    match context.outcome:
        case result.Failure(found):
            seen = [fault.path for fault in found]
        case result.Success():
            seen = []
    assert sorted(seen) == sorted(faults.split()), seen


@behave.when(
    "a stopping router has {left:d} ms, a request {deadline} ms and its route "
    "had answers of {known} ms"
)
def decide_in_stop(context, left, deadline, known):
    times = None
    if known != "none":
        for time_ms in known.split():
            times = stopping.add_answer_time(times, float(time_ms))
    request_left_ms = None if deadline == "none" else float(deadline)
    context.sent = stopping.can_answer_in_time(
        float(left), request_left_ms, times
    )


@behave.then("the request is {verdict:w}")
def request_is(context, verdict):
    assert context.sent == (verdict == "sent"), context.sent


@behave.then(
    "a request with {left} ms that waited {waited:d} ms on a route of {limit} "
    "ms has {time} ms"
)
def has_time_left(context, left, waited, limit, time):
    del context
    route = data.Route(
        "r", "/", timeout_s=None if limit == "none" else int(limit) / 1000
    )
    left_ms = None if left == "none" else int(left)
    found = routing.min_time_left_ms(route, left_ms, waited)
    assert str(found) == time, found
