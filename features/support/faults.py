"""Faults that the fault matrix injects into a running fleet."""

import shutil
import threading

from features.support import fleet
from waxwingrack.core import registry

# Time that a cut, freeze or slow link lasts, in seconds. It exceeds the
# control timeout (2 s) and the lifetime of a grant (1 s).
FAULT_S = 3.0
SLOW_LINK_MS = 600
# Durations of the faults that last longer than FAULT_S, in seconds.
DURATIONS_S = {"leader cut for 8 s": 8.0}
# Faults of an engine that gets orders; other kinds of cell do not have them.
OF_ENGINES = ("server restarts", "answer lost")

FAULTS = registry.Registry("fault")


def strike(name, cluster, router, server):
    """Injects a fault and repairs it later in the background.

    Args:
      name: Name of the fault.
      cluster: The fleet.
      router: Router that has the request.
      server: Backend server that may have the request.

    Returns:
      A function that waits for the repair.
    """
    repair = FAULTS[name](cluster, router, server)
    if repair is None:
        return lambda: None
    timer = threading.Timer(DURATIONS_S.get(name, FAULT_S), repair)
    timer.start()
    return timer.join


def restore(cluster):
    """Heals all links and restarts every process that has ended."""
    cluster.heal()
    for member in cluster.members.values():
        if member.alive:
            member.resume()
        else:
            member.start()


@FAULTS.register("none")
def _none(cluster, router, server):
    return None


@FAULTS.register("router killed")
def _router_killed(cluster, router, server):
    cluster.members[router].kill()


@FAULTS.register("router restarts empty")
def _router_restarts(cluster, router, server):
    cluster.restart_empty(router)


@FAULTS.register("router cut both ways")
def _router_cut(cluster, router, server):
    cluster.isolate(router)
    return cluster.heal


@FAULTS.register("router cut one way out")
def _router_cut_out(cluster, router, server):
    cluster.isolate(router, up=True, down=False)
    return cluster.heal


@FAULTS.register("router cut one way in")
def _router_cut_in(cluster, router, server):
    cluster.isolate(router, up=False, down=True)
    return cluster.heal


@FAULTS.register("router frozen")
def _router_frozen(cluster, router, server):
    cluster.members[router].freeze()
    return cluster.members[router].resume


@FAULTS.register("slow links")
def _slow_links(cluster, router, server):
    for link in cluster.proxy.links:
        cluster.proxy.change(link, delay_ms=SLOW_LINK_MS)
    return cluster.heal


@FAULTS.register("links reset")
def _links_reset(cluster, router, server):
    for link in cluster.proxy.links:
        cluster.proxy.change(link, reset=True)


@FAULTS.register("leader killed")
def _leader_killed(cluster, router, server):
    cluster.members[cluster.last_leader].kill()


@FAULTS.register("leader's disk lost")
def _leader_disk_lost(cluster, router, server):
    name = cluster.last_leader
    cluster.members[name].kill()
    folder = cluster.folder / f"{name}-data"
    kept = cluster.folder / f"{name}-data-kept"
    folder.rename(kept)
    cluster.members[name].start()

    def put_back():
        cluster.members[name].kill()
        shutil.rmtree(folder, ignore_errors=True)
        kept.rename(folder)
        cluster.members[name].start()

    return put_back


@FAULTS.register("leader cut both ways")
def _leader_cut(cluster, router, server):
    cluster.isolate(cluster.last_leader)
    return cluster.heal


@FAULTS.register("leader cut for 8 s")
def _leader_cut_long(cluster, router, server):
    cluster.isolate(cluster.last_leader)
    return cluster.heal


@FAULTS.register("all controllers restart")
def _controllers_restart(cluster, router, server):
    for name in cluster.controllers:
        cluster.members[name].kill()
    for name in cluster.controllers:
        cluster.members[name].start()


@FAULTS.register("leader frozen")
def _leader_frozen(cluster, router, server):
    member = cluster.members[cluster.last_leader]
    member.freeze()
    return member.resume


@FAULTS.register("follower killed")
def _follower_killed(cluster, router, server):
    name = next(
        name for name in cluster.controllers if name != cluster.last_leader
    )
    cluster.members[name].kill()


@FAULTS.register("server killed")
def _server_killed(cluster, router, server):
    cluster.members[server].kill()


@FAULTS.register("server frozen")
def _server_frozen(cluster, router, server):
    cluster.members[server].freeze()
    return cluster.members[server].resume


@FAULTS.register("server turns cold")
def _server_cold(cluster, router, server):
    port = cluster.members[server].ports["requests"]
    fleet.request(port, "PUT", "/-/mode", {"slow": 5.0})
    return lambda: fleet.request(port, "PUT", "/-/mode", {"slow": 1.0})


@FAULTS.register("leader and server killed")
def _leader_and_server(cluster, router, server):
    cluster.members[cluster.last_leader].kill()
    cluster.members[server].kill()


@FAULTS.register("router cut and leader killed")
def _router_and_leader(cluster, router, server):
    cluster.isolate(router)
    cluster.members[cluster.last_leader].kill()
    return cluster.heal


@FAULTS.register("router frozen and leader killed")
def _frozen_and_leader(cluster, router, server):
    cluster.members[router].freeze()
    cluster.members[cluster.last_leader].kill()
    return cluster.members[router].resume


@FAULTS.register("server restarts")
def _server_restarts(cluster, router, server):
    cluster.members[server].kill()
    cluster.members[server].start()


@FAULTS.register("answer lost")
def _answer_lost(cluster, router, server):
    link = f"e-{server}"
    cluster.proxy.change(link, hold=["down", "POST"])
    return lambda: cluster.proxy.change(link, hold=None, reset=True)
