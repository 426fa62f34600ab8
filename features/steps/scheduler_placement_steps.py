"""Steps for version shares, placement preferences and prefix caches."""

import dataclasses
import random

import behave
import immutables

from features.support import scheduler_tables as driver
from waxwingrack.core import data
from waxwingrack.operations import placement
from waxwingrack.operations import scheduler
from waxwingrack.operations import tables as tables_module

# Grants that a simulated leader makes after its last checkpoint.
LOST_GRANTS = 5


def _create_scheduler(context):
    driver.create_scheduler(context, 100_000)
    driver.send_report(context, first=True)


def _change_server(context, server_id, change):
    txn = tables_module.Transaction(context.tables, context.at_ms)
    tables_module.store_server(txn, change(txn.servers[server_id], txn))
    context.tables = txn.commit()


def _raise_limit(context, server_id):
    _change_server(
        context,
        server_id,
        lambda row, _: data.evolve(
            row,
            slot_limit=data.evolve(
                row.slot_limit, limit=row.slot_limit.announced_slots
            ),
        ),
    )


@behave.given(
    'a scheduler with servers of version "v1" with {current:d} slots and'
    ' "v2" with {candidate:d} slots'
)
def two_versions(context, current, candidate):
    _create_scheduler(context)
    for version, count in (("v1", current), ("v2", candidate)):
        if count:
            announcement = driver.create_announcement(
                f"b-{version}", version=version, slots=count
            )
            driver.send_report(context, announcements=(announcement,))
            _raise_limit(context, announcement.server_id)


@behave.given('a share of {share:g} for the version "v2"')
def version_share(context, share, overflow=False):
    context.share = share
    shares = {"s": data.VersionShare("v1", "v2", share, overflow)}
    context.policy = data.Policy(
        driver.ENVIRONMENT, shares=immutables.Map(shares)
    )


@behave.given('a share of {share:g} with overflow for the version "v2"')
def overflowing_share(context, share):
    version_share(context, share, overflow=True)


@behave.given(
    "an exposure of at most {share:g} of the requests and {reserve:d} more"
)
def limited_exposure(context, share, reserve):
    limited = dataclasses.replace(
        context.policy.shares["s"],
        max_exposure=share,
        exposure_reserve=reserve,
    )
    context.policy = dataclasses.replace(
        context.policy, shares=immutables.Map({"s": limited})
    )


@behave.when(
    "{count:d} requests are granted in {periods:d} periods of leadership"
)
def grant_under_leaders(context, count, periods):
    context.versions = []
    checkpoint = ()
    for number in range(1, periods + 1):
        if number > 1:
            _replace_leader(context, number, checkpoint)
        # The leader ends some grants after its last checkpoint.
        _grant_until(context, count * number // periods - LOST_GRANTS, 0)
        checkpoint = scheduler.list_exposures(context.tables)
        _grant_until(context, count * number // periods, 0)


def _replace_leader(context, term, checkpoint):
    """Replaces the leader by one that knows what the checkpoint holds."""
    share = dataclasses.replace(
        context.policy.shares["s"], exposure=checkpoint[0].exposure
    )
    context.policy = dataclasses.replace(
        context.policy, shares=immutables.Map({"s": share})
    )
    announcements = tuple(
        row.announcement for row in context.tables.servers.values()
    )
    context.tables = scheduler.create_tables(term, context.at_ms, (), ())
    driver.send_report(context, first=True, announcements=announcements)
    for announcement in announcements:
        _raise_limit(context, announcement.server_id)


@behave.then(
    'the version "v2" got at most {share:g} of them and {reserve:d} more'
)
def exposure_kept(context, share, reserve):
    got = context.versions.count("v2")
    assert got <= share * len(context.versions) + reserve, got


@behave.then('the version "v2" got at least {least:d} of them')
def exposure_used(context, least):
    got = context.versions.count("v2")
    assert got >= least, got


@behave.when(
    "{count:d} requests are granted while {unused:d} of 10 come back"
    " undispatched"
)
def grant_requests(context, count, unused):
    context.versions = []
    _grant_until(context, count, unused)


@behave.when(
    "{before:d} requests are granted before a server of version"
    ' "v2" appears and {after:d} after'
)
def grant_before_and_after(context, before, after):
    context.versions = []
    _grant_until(context, before, 0)
    announcement = driver.create_announcement("b-v2", version="v2")
    driver.send_report(context, announcements=(announcement,))
    _raise_limit(context, announcement.server_id)
    _grant_until(context, before + after, 0)
    assert "v2" in context.versions


def _grant_until(context, count, unused):
    rng = random.Random(17)
    running = []
    for _ in range(20 * count):
        context.at_ms += 5
        if context.at_ms % 1_000 == 0:
            announcements = [
                row.announcement for row in context.tables.servers.values()
            ]
            driver.send_report(context, announcements=tuple(announcements))
        context.sequence += 1
        driver.send_report(
            context, wants=(driver.create_request(context.sequence),)
        )
        for decision in driver.run_tick(context).grants:
            grant = decision.grant
            # The unused grants are those of the current version, the worst
            # case for the share.
            undispatched = grant.version == "v1" and rng.randrange(10) < unused
            if not undispatched:
                context.versions.append(grant.version)
            outcome = (
                data.Outcome.NOT_DISPATCHED
                if undispatched
                else data.Outcome.COMPLETED
            )
            end_ms = context.at_ms + rng.randint(5, 60)
            finished = data.FinishedRequest(
                grant.term, grant.id, outcome, 20, 20, 20
            )
            running.append((end_ms, finished))
        due = [
            finished for end_ms, finished in running if end_ms <= context.at_ms
        ]
        running = [entry for entry in running if entry[0] > context.at_ms]
        driver.send_report(context, finished=tuple(due))
        if len(context.versions) >= count:
            return


@behave.then(
    'in each window of grants the version "v2" gets at most its share plus one'
    " request"
)
def share_kept(context):
    excess = lowest = 0.0
    for version in context.versions:
        excess += (version == "v2") - context.share
        assert excess - lowest <= 1 + 1e-6, (excess, lowest)
        lowest = min(lowest, excess)


@behave.then("{count:d} requests were granted")
def all_granted(context, count):
    assert len(context.versions) == count, len(context.versions)


@behave.then('the version "v2" gets {low:g}-{high:g} of all requests')
def real_share(context, low, high):
    count = context.versions.count("v2")
    total = max(1, len(context.versions))
    # The last request that is owed may not have been granted yet.
    assert low * total - 1 <= count <= high * total + 1, (count, total)


@behave.given('the placement servers "{servers}"')
def placement_servers(context, servers):
    _create_scheduler(context)
    for entry in servers.split():
        server_id, data_centre, load, *prefixes = entry.split(":")
        used_slots, limit = map(int, load.split("/"))
        announcement = driver.create_announcement(
            server_id,
            slots=limit,
            data_centre=data_centre,
            cache_events=tuple(
                data.CacheEvent(number, prefix, True)
                for number, prefix in enumerate(prefixes, 1)
            ),
        )
        driver.send_report(context, announcements=(announcement,))
        _raise_limit(context, server_id)
        grants = immutables.Map({(0, n): None for n in range(used_slots)})
        _change_server(
            context,
            server_id,
            lambda row, _, grants=grants: data.evolve(row, grants=grants),
        )


def _place_request(context, **fields):
    context.sequence += 1
    request = driver.create_request(context.sequence, **fields)
    driver.send_report(context, wants=(request,))
    context.placed = [
        entry.grant.server_id for entry in driver.run_tick(context).grants
    ]


@behave.when('a request with prefix "{prefix}" from data centre "a" is placed')
@behave.when('a request with prefix "" from data centre "a" is placed')
def place_with_prefix(context, prefix=""):
    _place_request(context, prefix=prefix)


@behave.when('a request that avoids "{avoid}" is placed')
def place_with_avoid(context, avoid):
    names = () if avoid == "none" else tuple(avoid.split())
    _place_request(context, avoid=names)


@behave.then('it is placed on "{server}"')
def placed_on(context, server):
    expected = [] if server == "none" else [server]
    assert context.placed == expected, context.placed


@behave.when(
    '{count:d} requests with prefix "{prefix}" from data centre "a" wait'
)
def many_with_prefix(context, count, prefix):
    requests = tuple(
        driver.create_request(number, prefix=prefix) for number in range(count)
    )
    driver.send_report(context, wants=requests)
    context.placed = [
        entry.grant.server_id for entry in driver.run_tick(context).grants
    ]


@behave.then("each placement server has all of its slots in use")
def all_in_use(context):
    for row in context.tables.servers.values():
        assert placement.count_used_slots(row) == row.slot_limit.limit, row


@behave.when('the cache events "{events}" are applied')
def apply_events(context, events):
    cache = data.PrefixCache()
    for word in events.split():
        stored = "+" in word
        sequence, prefix = word.split("+" if stored else "-")
        event = data.CacheEvent(int(sequence), prefix, stored)
        cache, _ = placement.apply_events(cache, (event,))
    context.cache = cache


@behave.then('the known prefixes are "{known}"')
@behave.then('the known prefixes are ""')
def known_prefixes(context, known=""):
    assert set(context.cache.stored) == set(known.split()), context.cache


@behave.when("{count:d} different prefixes are stored in a cache")
def store_many(context, count):
    events = (
        data.CacheEvent(number, f"p{number}", True)
        for number in range(1, count + 1)
    )
    context.cache, _ = placement.apply_events(data.PrefixCache(), events)
    context.latest = f"p{count}"


@behave.then("{count:d} prefixes are known and the latest is among them")
def bounded_cache(context, count):
    assert len(context.cache.stored) == count
    assert len(context.cache.order) == count
    assert context.latest in context.cache.stored


@behave.given(
    "a scheduler with a model engine that announces {cold:d} ms of cold start"
)
def engine_scheduler(context, cold):
    driver.create_scheduler(context, 100_000)
    service = data.Service(
        "s",
        (),
        "v1",
        engine=data.Engine(400_000),
        ramp=False,
        announces_cold=True,
    )
    context.policy = data.Policy(
        dataclasses.replace(driver.ENVIRONMENT, services=(service,))
    )
    driver.run_tick(context)
    announcement = driver.create_announcement("b1", cold_ms=cold)
    driver.send_report(context, first=True, announcements=(announcement,))


@behave.when(
    "a prompt of {tokens:d} tokens is granted, answered after {first:d} ms and"
    " completed later"
)
def answer_prompt(context, tokens, first):
    request = driver.create_request(1, prompt_tokens=tokens, output_tokens=50)
    driver.send_report(context, wants=(request,))
    (decision,) = driver.run_tick(context).grants
    key = (decision.grant.term, decision.grant.id)
    context.at_ms += first
    started = data.StartedAnswer(*key, float(first))
    driver.send_report(context, started=(started,))
    context.samples = list(driver.run_tick(context).samples)
    context.at_ms += 4_000
    finished = data.FinishedRequest(
        *key, data.Outcome.COMPLETED, float(first), 4_000.0, 100.0
    )
    driver.send_report(context, finished=(finished,))
    context.samples += driver.run_tick(context).samples


@behave.then('the samples are "{samples}"')
def samples_are(context, samples):
    begun, ended = context.samples
    assert begun.outcome is None and begun.expected_ms > 0, begun
    assert ended.outcome is data.Outcome.COMPLETED, ended
    found = (
        f"begun {'cold' if begun.was_cold else 'warm'}, completed"
        f"{' latency-known' if ended.latency_known else ''}"
    )
    assert found == samples, found
