"""Changes of the environment document, data centres and refused digests.

The version that has a service's traffic follows these rules:

* A service that is new takes the version in its document.
* A rollout that ends as done moves the traffic to its version.
* A document that names another version for a service than the document before
  it starts a rollout with default times, unless one of the service is
  unfinished: a version that has not been judged never gets all traffic at once.
* It starts none if a rollout has moved the traffic away from that version or
  was taken back from it. Such a version returns by a declared rollout only, so
  an old document that is applied again reverts nothing.
"""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import replicated_rollouts

# Digests that the crash guard keeps refused; the oldest gives way.
MAX_REFUSED_DIGESTS = 1_024
# Who takes a number that the crash guard raises.
CRASH_GUARD = "crash guard"

Refused = replicated_outcomes.ChangeRefusal


def apply_environment(
    state: data.ReplicatedState,
    command: commands.ApplyEnvironment | commands.ReplaceEnvironment,
) -> data.ReplicatedState | Refused:
    """Replaces the document and starts the rollouts that are new in it."""
    document = command.environment
    before = state.environment
    services = {service.id for service in document.services}
    state = dataclasses.replace(
        state,
        environment=document,
        drained=_drained(document, state.drained),
        counters=_kept_counters(state, document),
    )
    state = replicated_rollouts.roll_back_removed_services(state, services)
    declared = [
        plan for plan in document.rollouts if plan.id not in state.rollouts
    ]
    moving = {plan.service for plan in declared}
    moving |= replicated_rollouts.unfinished_by_service(state).keys()
    implied = _implied_rollouts(state, before, moving)
    state = _set_versions(state)
    for plan in (*declared, *implied):
        if state.versions.get(plan.service) == plan.version:
            state = replicated_rollouts.record_finished(state, plan)
            continue
        started = replicated_rollouts.start_plan(state, plan)
        if isinstance(started, Refused):
            return started
        state = started
    return replicated_rollouts.drop_oldest_finished(state)


def replace_environment(
    state: data.ReplicatedState, command: commands.ReplaceEnvironment
) -> replicated_outcomes.CommandResult:
    """Replaces the document unless its revision is not higher.

    The outcome is the revision in force. A resend, or a document that a higher
    revision has overtaken, changes nothing.
    """
    current = state.environment.revision if state.environment else -1
    if command.environment.revision <= current:
        return replicated_outcomes.CommandResult(state, current)
    changed = apply_environment(state, command)
    if isinstance(changed, Refused):
        return replicated_outcomes.CommandResult(state, changed)
    changed = replicated_outcomes.increment_number(changed, command.operator)
    return replicated_outcomes.CommandResult(
        changed, command.environment.revision
    )


def set_data_centre(
    state: data.ReplicatedState, command: commands.SetDataCentre
) -> data.ReplicatedState | Refused:
    """Drains or restores a data centre."""
    known = state.environment.data_centres if state.environment else ()
    if command.data_centre not in {item.id for item in known}:
        return Refused(f"no data centre {command.data_centre!r}")
    if command.state is data.DataCentreState.DRAINED:
        drained = state.drained | {command.data_centre}
    else:
        drained = state.drained - {command.data_centre}
    return dataclasses.replace(state, drained=drained)


def refuse_digest(
    state: data.ReplicatedState, command: commands.RefuseDigest
) -> replicated_outcomes.CommandResult:
    """Refuses a request digest; routers learn of it by the number."""
    if command.digest in state.refused_digests:
        return replicated_outcomes.CommandResult(state, None)
    order = (*state.digest_order, command.digest)[-MAX_REFUSED_DIGESTS:]
    state = dataclasses.replace(
        state, digest_order=order, refused_digests=frozenset(order)
    )
    state = replicated_outcomes.increment_number(state, CRASH_GUARD)
    return replicated_outcomes.CommandResult(state, None)


def _drained(
    document: data.Environment, drained: frozenset[str]
) -> frozenset[str]:
    """Returns the drained data centres under a new document."""

    def is_drained(item: data.DataCentre) -> bool:
        if item.state is None:
            return item.id in drained
        return item.state is data.DataCentreState.DRAINED

    return frozenset(
        item.id for item in document.data_centres if is_drained(item)
    )


def _kept_counters(state: data.ReplicatedState, document: data.Environment):
    services = {item.id for item in document.services}
    # The row without a workspace is the virtual time of the service.
    workspaces = {item.id for item in document.workspaces} | {""}
    counters = state.counters
    for key in state.counters:
        if key[0] not in services or key[1] not in workspaces:
            counters = counters.delete(key)
    return counters


def _implied_rollouts(
    state: data.ReplicatedState,
    before: data.Environment | None,
    moving: set[str],
) -> tuple[data.RolloutPlan, ...]:
    """Plans a rollout for each service whose document version changed."""
    earlier = (
        {item.id: item.version for item in before.services} if before else {}
    )
    return tuple(
        data.RolloutPlan(
            id=f"{service.id}-{service.version}-{state.number + 1}",
            service=service.id,
            version=service.version,
        )
        for service in state.environment.services
        if service.id in state.versions
        and service.version != earlier.get(service.id, service.version)
        and service.version != state.versions[service.id]
        and service.id not in moving
        and service.version
        not in replicated_rollouts.abandoned_versions(state, service.id)
    )


def _set_versions(state: data.ReplicatedState) -> data.ReplicatedState:
    """Sets the versions of new services and drops those of removed ones."""
    versions = state.versions
    for service in state.environment.services:
        if service.id not in versions:
            versions = versions.set(service.id, service.version)
    declared = {service.id for service in state.environment.services}
    for service_id in state.versions:
        # The version of a removed service is kept while a rollout tells of
        # it, so that an old document cannot revert it when it comes back.
        if service_id not in declared and not (
            replicated_rollouts.abandoned_versions(state, service_id)
        ):
            versions = versions.delete(service_id)
    return dataclasses.replace(state, versions=versions)
