"""Steps for a whole replicated group."""

import behave
import replication_cluster

from waxwingrack.core import commands
from waxwingrack.operations import consensus


def cluster(context) -> replication_cluster.Cluster:
    return context.replication


def a_follower(context) -> str:
    group = cluster(context)
    leader = group.leader()
    running = sorted(n for n, node in group.nodes.items() if node.replica)
    return next(item for item in running if item != leader)


@behave.given("a replicated group of {size:d} controllers with seed {seed:d}")
def start_group(context, size, seed):
    names = tuple("abcdefg"[:size])
    context.replication = replication_cluster.Cluster(names, seed)
    context.replication.encodes = True
    context.replication_digests = []
    group = cluster(context)
    assert group.run_until(lambda: group.leader() is not None, 8_000)
    group.run(500)
    context.replication_leader = group.leader()
    context.replication_term = group.nodes[group.leader()].replica.term


@behave.given(
    "the replication network loses {loss:f} and doubles {twice:f} of its"
    " messages within {delay:d} ms"
)
def set_network(context, loss, twice, delay):
    group = cluster(context)
    group.loss, group.duplicates = loss, twice
    group.delay_ms = (1, delay)


@behave.given("{count:d} replicated commands are committed")
@behave.when("{count:d} replicated commands are committed")
def commit_commands(context, count):
    # A command whose leader steps down is proposed again, as a caller does.
    for _ in range(count):
        digest = f"digest {len(context.replication_digests)}"
        context.replication_digests.append(digest)
        for _ in range(20):
            try:
                cluster(context).commit(commands.RefuseDigest(digest), 8_000)
                break
            except AssertionError:
                continue
        else:
            raise AssertionError(f"{digest} was not committed")


@behave.given("the replicated logs are {form}")
def compact_logs(context, form):
    group = cluster(context)
    group.run(500)
    for node_id, node in list(group.nodes.items()):
        if form == "compacted" and node.replica:
            group.compact(node_id)


@behave.given(
    "the replicated follower {node_id} misses {count:d} committed commands"
)
def miss_commands(context, node_id, count):
    group = cluster(context)
    if group.leader() == node_id:
        group.stop(node_id)
        assert group.run_until(lambda: group.leader() is not None, 8_000)
        group.start(node_id)
        group.run(1_000)
    group.stop(node_id)
    commit_commands(context, count)


@behave.when("the replicated follower {node_id} comes back")
def come_back(context, node_id):
    cluster(context).start(node_id)


@behave.when(
    "the replicated follower {node_id} comes back and its disk is busy with "
    "the snapshot for {time:d} ms"
)
def come_back_busy(context, node_id, time):
    group = cluster(context)
    group.start(node_id)
    leader = group.nodes[group.leader()]
    assert group.run_until(
        lambda: leader.replica.peers[node_id].snapshot_sent_ms is not None,
        3_000,
    )
    group.nodes[node_id].disk_busy_until_ms = group.now_ms + time


@behave.then("the replicated leader counts less than the snapshot at {node_id}")
def counts_less(context, node_id):
    group = cluster(context)
    follower = group.nodes[node_id].replica
    assert follower.log.snapshot_index > 0, follower.log
    match = group.nodes[group.leader()].replica.match[node_id]
    assert match < follower.log.snapshot_index, match


@behave.when("the replicated {victim} has the fault: {fault}")
def inject_fault(context, victim, fault):
    group = cluster(context)
    leader = group.leader()
    node_id = leader if victim == "leader" else a_follower(context)
    others = [item for item in group.nodes if item != node_id]
    context.replication_victim = node_id
    context.replication_fault_ms = group.now_ms
    match fault:
        case "killed":
            group.stop(node_id)
        case "cut off" | "cut off while the log compacts":
            group.cut_off(node_id)
        case "unable to send":
            group.cuts |= {(node_id, other) for other in others}
        case "unable to receive":
            group.cuts |= {(other, node_id) for other in others}
        case "frozen":
            group.nodes[node_id].frozen_until_ms = group.now_ms + 3_000
        case "cut from one follower":
            group.cuts |= {(node_id, others[0]), (others[0], node_id)}
        case _:
            raise AssertionError(fault)
    if fault.endswith("compacts"):
        commit_commands(context, 0)
        for other in others:
            group.compact(other)


@behave.when("the replicated {victim} crashes at {point} of its next write")
def crash_at_write(context, victim, point):
    group = cluster(context)
    leader = group.leader()
    node_id = leader if victim == "leader" else a_follower(context)
    node = group.nodes[node_id]
    node.crash_at = point
    group.propose(leader, commands.RefuseDigest("at the crash"), "crash")
    assert group.run_until(lambda: node.replica is None, 2_000)


@behave.when(
    "the disks of {busy} are busy for {time:d} ms in the replicated group"
)
def keep_disks_busy(context, busy, time):
    group = cluster(context)
    followers = [item for item in group.nodes if item != group.leader()]
    chosen = {
        "one follower": followers[:1],
        "the followers": followers,
        "all replicas": list(group.nodes),
    }[busy]
    for node_id in chosen:
        group.nodes[node_id].disk_busy_until_ms = group.now_ms + time
    context.replication_busy_ms = group.now_ms
    context.replication_uncommitted = busy != "one follower"


@behave.when("a replicated command is proposed every 50 ms for {load:d} ms")
def propose_steadily(context, load):
    context.replication_load_ms = load


@behave.then("the replicated leader held its lease for {time:d} ms")
def held_lease(context, time):
    group = cluster(context)
    leader = context.replication_leader
    while group.now_ms < context.replication_busy_ms + time:
        past_ms = group.now_ms - context.replication_busy_ms
        if past_ms < context.replication_load_ms and past_ms % 50 == 0:
            digest = f"busy {past_ms}"
            group.propose(leader, commands.RefuseDigest(digest), digest)
        group.turn()
        assert group.leader() == leader, past_ms
        if context.replication_uncommitted:
            # The leader alone is no majority.
            assert not busy_digests(context), past_ms


@behave.then(
    "all running replicas hold the same replicated state once the disks are "
    "free"
)
def same_state_later(context):
    group = cluster(context)
    group.run(3_000)
    digests = {group.digest(node_id) for node_id in group.nodes}
    assert len(digests) == 1, digests
    found = busy_digests(context)
    assert len(found) == context.replication_load_ms // 50, found


def busy_digests(context):
    """Returns what was committed of the commands proposed meanwhile."""
    state = cluster(context).nodes[context.replication_leader].state
    return [item for item in state.refused_digests if item.startswith("busy")]


@behave.when("{wait:d} ms pass in the replicated group")
def wait_ms(context, wait):
    cluster(context).run(wait)


@behave.when("the replicated fault ends")
def end_fault(context):
    group = cluster(context)
    group.cuts.clear()
    for node_id, node in group.nodes.items():
        if node.replica is None:
            group.start(node_id)
    group.run(3_000)


@behave.when("a follower and the replicated leader are cut from each other")
def cut_pair(context):
    group = cluster(context)
    pair = (group.leader(), a_follower(context))
    group.cuts |= {pair, pair[::-1]}


@behave.when(
    "the replicated follower {node_id} loses its disk and the leader is cut off"
)
def lose_and_cut(context, node_id):
    group = cluster(context)
    leader = group.leader()
    if leader == node_id:
        # The other up-to-date replica takes the part of the follower.
        node_id = next(n for n in "ab" if n != leader)
    group.lose_disk(node_id)
    group.start(node_id)
    group.cut_off(leader)
    context.replication_victim = leader


@behave.then("no replica other than the cut off one leads")
def no_other_leader(context):
    for node_id, node in cluster(context).nodes.items():
        leads = node.replica.role is consensus.ReplicaRole.LEADER
        assert node_id == context.replication_victim or not leads, node_id


@behave.when("the replicated {victim} loses its disk")
def lose_disk(context, victim):
    group = cluster(context)
    leader = group.leader()
    node_id = leader if victim == "leader" else a_follower(context)
    context.replication_victim = node_id
    group.lose_disk(node_id)
    group.start(node_id)


@behave.when("the new controller {node_id} replaces it in the replicated group")
def replace(context, node_id):
    group = cluster(context)
    assert group.run_until(lambda: group.leader() is not None, 8_000)
    members = group.nodes[group.leader()].replica.members
    group.add(node_id, members)
    lost = context.replication_victim
    assert group.change_members((*members, node_id))
    keep = tuple(item for item in (*members, node_id) if item != lost)
    assert group.change_members(keep)
    group.run(500)
    group.stop(lost)
    del group.nodes[lost]


@behave.when("another replicated {victim} is killed")
def kill_another(context, victim):
    group = cluster(context)
    leader = group.leader()
    candidates = [
        item for item in sorted(group.nodes) if item not in (leader, "d")
    ]
    group.stop(leader if victim == "leader" else candidates[0])


@behave.when("the replicated leader is asked for the members {members}")
def ask_members(context, members):
    group = cluster(context)
    context.replication_leader = group.leader()
    event = consensus.ProposeMembers(tuple(members.split(",")), "change")
    group.handle(group.leader(), event)


@behave.then("the proposed replicated members are rejected")
def change_rejected(context):
    node = cluster(context).nodes[context.replication_leader]
    assert node.rejected == ["change"], node.rejected


@behave.then("the replicated members are {members}")
def members_are(context, members):
    group = cluster(context)
    found = group.nodes[group.leader()].replica.members
    assert found == tuple(members.split(",")), found


@behave.when("the replicated leader removes itself")
def remove_leader(context):
    group = cluster(context)
    leader = group.leader()
    context.replication_leader = leader
    keep = tuple(item for item in "abc" if item != leader)
    assert group.change_members(keep)


@behave.then("another replicated leader commits with {count:d} members")
def another_leads(context, count):
    group = cluster(context)
    commit_commands(context, 1)
    leader = group.leader()
    assert leader != context.replication_leader
    assert len(group.nodes[leader].replica.members) == count


@behave.when("all replicated controllers are restarted")
def restart_all(context):
    group = cluster(context)
    for node_id in group.nodes:
        group.stop(node_id)
    for node_id in group.nodes:
        group.start(node_id)


@behave.then("all running replicas hold the same replicated state")
def same_state(context):
    group = cluster(context)
    group.loss = 0.0
    group.run(3_000)
    digests = {
        node_id: group.digest(node_id)
        for node_id, node in group.nodes.items()
        if node.replica
    }
    assert len(set(digests.values())) == 1, digests


@behave.then("all {count:d} replicated commands are kept")
def commands_kept(context, count):
    group = cluster(context)
    state = group.nodes[group.leader()].state
    assert count == len(context.replication_digests)
    lost = set(context.replication_digests) - state.refused_digests
    assert not lost, lost


@behave.then("the replicated group had at most {terms:d} terms")
def at_most_terms(context, terms):
    group = cluster(context)
    found = max(node.replica.term for node in group.nodes.values())
    assert found <= terms, found


@behave.then("the replicated leader and its term are the same as before")
def same_leader(context):
    group = cluster(context)
    leader = context.replication_leader
    replica = group.nodes[leader].replica
    assert group.leader() == leader
    assert replica.term == context.replication_term


@behave.then(
    "it gives up its replicated lease within {lease:d} ms and its role within"
    " {role:d} ms"
)
def gives_up(context, lease, role):
    group = cluster(context)
    node = group.nodes[context.replication_victim]

    def has_lease():
        return consensus.has_lease(node.replica, group.clock(node))

    def leads():
        return node.replica.role is consensus.ReplicaRole.LEADER

    assert group.run_until(lambda: not has_lease(), lease)
    passed_ms = group.now_ms - context.replication_fault_ms
    assert group.run_until(lambda: not leads(), role - passed_ms)


@behave.then("replica {node_id} took over {count:d} replicated snapshots")
def took_snapshots(context, node_id, count):
    found = cluster(context).nodes[node_id].restored
    assert found == count, found
