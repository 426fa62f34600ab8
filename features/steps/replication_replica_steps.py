"""Steps for a single consensus replica."""

import behave

from waxwingrack.core import data
from waxwingrack.core import messages
from waxwingrack.operations import consensus

MEMBERS = ("a", "b", "c")
DISKS = ("disk a", "disk b", "disk c")
FIRST = data.LogEntry(1, 1, b"", MEMBERS, DISKS)


def persisted(term: int, entries=(FIRST,), voted_for: str = ""):
    hard = consensus.HardState(term, voted_for)
    return consensus.Persisted(hard, None, tuple(entries), "disk a")


def feed(replica, event, now_ms):
    step = consensus.step(replica, event, now_ms)
    return step.replica, step.effects


def reply(sender, message):
    return consensus.Received(sender, message)


def make_leader(entries, term, now_ms):
    """Has replica a elected in `term` by the vote of b."""
    replica = consensus.create("a", MEMBERS, persisted(term - 1, entries), 0, 1)
    replica, _ = feed(replica, consensus.Tick(), now_ms)
    for pre_vote in (True, False):
        vote = messages.VoteReply(term, True, pre_vote, "disk b")
        replica, _ = feed(replica, reply("b", vote), now_ms)
    assert replica.role is consensus.ReplicaRole.LEADER
    return replica


def acknowledge(replica, sender, index, round_ms, now_ms):
    answer = messages.AppendReply(
        replica.term, True, index, round_ms, f"disk {sender}"
    )
    return feed(replica, reply(sender, answer), now_ms)[0]


@behave.given(
    "a replicated leader whose heartbeat of {sent:d} ms is answered at {at:d}"
    " ms"
)
def leader_answered(context, sent, at):
    # The election takes longer than the times of the table begin at.
    shift = 250
    replica = make_leader((FIRST,), 2, sent + shift)
    replica, _ = feed(replica, consensus.Synced(2, 2), sent + shift)
    context.replica = acknowledge(replica, "b", 2, sent + shift, at + shift)
    context.replica_shift = shift


@behave.then("its replicated lease at {now:d} ms is {lease}")
def lease_at(context, now, lease):
    held = consensus.has_lease(context.replica, now + context.replica_shift)
    assert held == (lease == "held")


@behave.given("a replica that {history} at {now:d} ms")
def replica_history(context, history, now):
    if history == "has been restarted":
        replica = consensus.create("a", MEMBERS, persisted(3), now, 1)
    else:
        replica = consensus.create("a", MEMBERS, persisted(3), 0, 1)
        beat = messages.Append(3, 1, 1, (), 1, 77)
        replica, _ = feed(replica, reply("b", beat), now)
    context.replica = replica


@behave.when("it gets a {kind} for a later term at {now:d} ms")
def get_vote_request(context, kind, now):
    request = messages.VoteRequest(4, 1, 1, kind == "pre-vote", MEMBERS, DISKS)
    _, effects = feed(context.replica, reply("c", request), now)
    (envelope,) = effects.send_after_sync
    context.replica_vote = envelope.message.granted


@behave.then("the replicated vote is {vote}")
def vote_is(context, vote):
    assert context.replica_vote == (vote == "granted")


@behave.when(
    "it grants a vote to b in term {term:d} and restarts from what was synced"
)
def vote_and_restart(context, term):
    request = messages.VoteRequest(term, 1, 1, False, MEMBERS, DISKS)
    _, effects = feed(context.replica, reply("b", request), 20_000)
    assert effects.send_after_sync[0].message.granted
    assert not effects.send
    stored = consensus.Persisted(effects.hard, None, (FIRST,), "disk a")
    context.replica = consensus.create("a", MEMBERS, stored, 0, 1)


@behave.then("it refuses the replicated vote to c in term {term:d}")
def refuses_second_vote(context, term):
    request = messages.VoteRequest(term, 1, 1, False, MEMBERS, DISKS)
    _, effects = feed(context.replica, reply("c", request), 20_000)
    assert not effects.send_after_sync[0].message.granted


@behave.given("a replicated leader of 3 with one proposal at index 2")
def leader_with_proposal(context):
    replica = make_leader((FIRST,), 2, 1_250)
    replica, _ = feed(replica, consensus.Synced(2, 2), 1_250)
    replica = acknowledge(replica, "b", 2, 1_250, 1_251)
    assert replica.commit_index == 2
    replica, _ = feed(replica, consensus.Propose(b"x", "t"), 1_252)
    # Index 1 is the first entry of the group and 2 the leader's own; the
    # indexes of the table count from the latter.
    context.replica = replica


@behave.when(
    "the proposal is {own} on its disk and acknowledged by {peers:d}"
    " replicated followers"
)
def sync_and_acknowledge(context, own, peers):
    replica = context.replica
    if own == "synced":
        replica, _ = feed(replica, consensus.Synced(3, 2), 1_253)
    for sender in ("b", "c")[:peers]:
        replica = acknowledge(replica, sender, 3, 1_252, 1_254)
    context.replica = replica
    context.replica_offset = 1


@behave.given(
    "a replicated leader of term {term:d} with an entry of term 2 at index 2"
)
def leader_with_old_entry(context, term):
    entries = (FIRST, data.LogEntry(2, 2, b"x"))
    replica = make_leader(entries, term, 1_250)
    replica, _ = feed(replica, consensus.Synced(3, term), 1_250)
    context.replica = replica
    context.replica_offset = 0


@behave.when("one replicated follower acknowledges index {index:d}")
def acknowledges(context, index):
    context.replica = acknowledge(context.replica, "b", index, 1_250, 1_251)


@behave.then("the replicated commit index is {commit:d}")
def commit_is(context, commit):
    found = context.replica.commit_index - context.replica_offset
    assert found == commit, found


@behave.when("it is asked to remove b and then c from the replicated group")
def remove_two(context):
    event = consensus.ProposeMembers(("a", "c"), "first")
    replica, effects = feed(context.replica, event, 1_260)
    assert effects.accepted[0].token == "first"
    event = consensus.ProposeMembers(("a",), "second")
    _, context.replica_effects = feed(replica, event, 1_260)


@behave.then("the second change of the replicated members is rejected")
def second_rejected(context):
    assert context.replica_effects.rejected == ("second",)


@behave.given("a replica of the members with a {disk} disk")
def replica_with_disk(context, disk):
    context.replica_disk = "disk a" if disk == "named" else "disk x"


@behave.then("its replicated vote is {vote}")
def its_vote(context, vote):
    hard = consensus.HardState(3, "")
    stored = consensus.Persisted(hard, None, (FIRST,), context.replica_disk)
    for pre_vote in (True, False):
        replica = consensus.create("a", MEMBERS, stored, 0, 1)
        request = messages.VoteRequest(4, 1, 1, pre_vote, MEMBERS, DISKS)
        _, effects = feed(replica, reply("c", request), 10_000)
        granted = effects.send_after_sync[0].message.granted
        assert granted == (vote == "granted")


@behave.given("a replicated candidate that needs one more {kind}")
def candidate(context, kind):
    if kind == "vote":
        replica = consensus.create("a", MEMBERS, persisted(1), 0, 1)
        replica, _ = feed(replica, consensus.Tick(), 1_250)
        vote = messages.VoteReply(2, True, True, "disk b")
        replica, _ = feed(replica, reply("b", vote), 1_250)
        assert replica.role is consensus.ReplicaRole.CANDIDATE
    else:
        replica = make_leader((FIRST,), 2, 1_250)
        replica, _ = feed(replica, consensus.Synced(2, 2), 1_250)
    context.replica = replica


@behave.when("the replicated {kind} arrives from a {disk} disk")
def arrives(context, kind, disk):
    disk_id = "disk c" if disk == "named" else "disk x"
    if kind == "vote":
        message = messages.VoteReply(2, True, False, disk_id)
    else:
        message = messages.AppendReply(2, True, 2, 1_250, disk_id)
    context.replica, _ = feed(context.replica, reply("c", message), 1_251)


@behave.then("the replicated reply or {kind} ends as {result}")
def counted(context, kind, result):
    if kind == "change":
        accepted = [item.token for item in context.replica_effects.accepted]
        assert accepted == ["change"] * (result == "accepted")
        return
    replica = context.replica
    if kind == "vote":
        found = replica.role is consensus.ReplicaRole.LEADER
    else:
        found = replica.commit_index == 2
        assert consensus.has_lease(replica, 1_252) == found
    assert found == (result == "counted")


@behave.given("a replicated leader of 3 with {count:d} committed entries")
def leader_with_entries(context, count):
    entries = [FIRST] + [data.LogEntry(i, 1, b"x") for i in range(2, count)]
    replica = make_leader(entries, 2, 1_250)
    replica, _ = feed(replica, consensus.Synced(count, 2), 1_250)
    replica = acknowledge(replica, "b", count, 1_250, 1_251)
    assert replica.commit_index == count
    context.replica = replica


@behave.when(
    "it is asked to add d, which has the replicated entries up to {index:d}"
)
def add_learner(context, index):
    event = consensus.ProposeMembers((*MEMBERS, "d"), "change")
    replica, effects = feed(context.replica, event, 1_260)
    assert [item.receiver for item in effects.send] == ["d"]
    answer = messages.AppendReply(2, True, index, 1_260, "disk d")
    _, context.replica_effects = feed(replica, reply("d", answer), 1_261)
