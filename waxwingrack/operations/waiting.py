"""Queues of waiting requests at the leader.

The wants of a workspace at a service stand in lanes, one for each set of
servers to avoid, so that a want that cannot use a free slot never blocks one
that can. Arrival numbers order the lanes' heads over all routers.
"""

from collections.abc import Iterator

import immutables

from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.core import messages
from waxwingrack.operations import tables as tables_module

Work = tables_module.Work

_NO_LANES = immutables.Map()
_EMPTY_LANE = data.Lane()
# Workspace name in the place of a want that runs alone on a server.
ALONE = ""


def append(lane: data.Lane, row: data.WantRow) -> tuple[data.Lane, int]:
    """Adds a want at the end of a lane and returns its position."""
    position = lane.tail
    return (
        data.Lane(lane.rows.set(position, row), lane.head, position + 1),
        position,
    )


def in_order(lane: data.Lane) -> Iterator[data.WantRow]:
    """Yields the wants of a lane in order of arrival."""
    for position in range(lane.head, lane.tail):
        row = lane.rows.get(position)
        if row is not None:
            yield row


def remove(lane: data.Lane, position: int) -> data.Lane:
    """Removes a want; the head stays on the first want that is left."""
    rows = lane.rows.delete(position)
    head = lane.head
    if rows:
        while head not in rows:
            head += 1
    return data.Lane(rows, head, lane.tail)


def add(work: Work, router: str, want: data.Want) -> data.Place:
    """Adds a new want.

    Args:
      work: Tables.
      router: Node id of the router.
      want: Want.

    Returns:
      Its place.
    """
    row = data.WantRow(router, want, work.next_arrival, work.now_ms)
    work.next_arrival += 1
    work.arrived.append((router, want.sequence))
    return _insert(work, row)


def _insert(work: Work, row: data.WantRow) -> data.Place:
    want = row.want
    tables_module.pool(work, want.service)
    suspected = want.digest and want.digest in work.suspicions
    if suspected and work.scope.isolates(want.service):
        lane = work.alone.get(want.service, _EMPTY_LANE)
        work.alone[want.service], position = append(lane, row)
        return data.Place(want.service, ALONE, (), position)
    place = (want.service, want.workspace)
    lanes = work.queues.get(place, _NO_LANES)
    if not lanes:
        backlog = work.backlog.get(want.service, immutables.Map())
        work.backlog[want.service] = backlog.set(want.workspace, True)
    lane, position = append(lanes.get(want.avoid, _EMPTY_LANE), row)
    work.queues[place] = lanes.set(want.avoid, lane)
    return data.Place(want.service, want.workspace, want.avoid, position)


def take(work: Work, place: data.Place) -> data.WantRow:
    """Removes a want from its lane and returns it."""
    if place.workspace == ALONE:
        lane = work.alone[place.service]
        row = lane.rows[place.position]
        lane = remove(lane, place.position)
        if lane.rows:
            work.alone[place.service] = lane
        else:
            del work.alone[place.service]
        return row
    key = (place.service, place.workspace)
    lanes = work.queues[key]
    lane = lanes[place.avoid]
    row = lane.rows[place.position]
    lane = remove(lane, place.position)
    if lane.rows:
        work.queues[key] = lanes.set(place.avoid, lane)
        return row
    lanes = lanes.delete(place.avoid)
    if lanes:
        work.queues[key] = lanes
        return row
    del work.queues[key]
    backlog = work.backlog[place.service].delete(place.workspace)
    if backlog:
        work.backlog[place.service] = backlog
    else:
        del work.backlog[place.service]
    return row


def drop(work: Work, router: str, sequence: int) -> data.WantRow | None:
    """Removes a want of a router, if it waits."""
    row = work.routers.get(router)
    place = row.wants.get(sequence) if row else None
    if place is None:
        return None
    work.routers[router] = data.evolve(row, wants=row.wants.delete(sequence))
    return take(work, place)


def isolate(work: Work, place: data.Place) -> None:
    """Moves a want to the lane of requests that run alone."""
    row = take(work, place)
    router = work.routers[row.router]
    work.routers[row.router] = data.evolve(
        router, wants=router.wants.set(row.want.sequence, _insert(work, row))
    )


def refuse(
    work: Work,
    router: str,
    sequence: int,
    kind: errors.ErrorKind,
    reason: str,
    retry_after_ms: int = 0,
) -> None:
    """Removes a want and refuses it."""
    if drop(work, router, sequence) is not None:
        refusal = messages.Refusal(sequence, kind, retry_after_ms)
        work.refusals.append((router, refusal, reason))


def place_of(work: Work, row: data.WantRow) -> data.Place:
    """Returns the place of a waiting want."""
    return work.routers[row.router].wants[row.want.sequence]


def all_wants(work: Work) -> tuple[data.WantRow, ...]:
    """Returns every waiting want, in no particular order."""
    queues = work.queues.finish()
    work.queues = queues.mutate()
    alone = work.alone.finish()
    work.alone = alone.mutate()
    lanes = [lane for lanes in queues.values() for lane in lanes.values()]
    lanes.extend(alone.values())
    return tuple(row for lane in lanes for row in lane.rows.values())


def of_workspaces(work: Work, service: str) -> list[data.Lane]:
    """Returns the lanes of a service without those of crash suspects."""
    return [
        lane
        for workspace in work.backlog.get(service, _NO_LANES)
        for lane in work.queues[(service, workspace)].values()
    ]


def of_service(work: Work, service: str) -> tuple[data.Lane, ...]:
    """Returns the lanes of a service."""
    lanes = of_workspaces(work, service)
    if service in work.alone:
        lanes.append(work.alone[service])
    return tuple(lanes)
