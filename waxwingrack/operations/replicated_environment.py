"""Changes of the environment document, data centres and refused digests.

The current version of a service, which gets its traffic, is set by these rules:

* A new service starts with the version in the document.
* A rollout that ends as done makes its candidate version the current one.
* A document that changes the version of a service starts a rollout with default
  times, unless the service has an unfinished rollout. A version that has not
  been judged therefore never gets all traffic at once.
* A document starts no rollout to a version that an earlier rollout replaced or
  rolled back. Such a version returns by a declared rollout only, so applying an
  old document again reverts nothing.
"""

import dataclasses

from waxwingrack.core import commands
from waxwingrack.core import data
from waxwingrack.operations import replicated_outcomes
from waxwingrack.operations import replicated_rollouts

# Maximum number of digests that the crash guard refuses; the oldest is dropped.
MAX_REFUSED_DIGESTS = 1_024
# Operator recorded for changes that the crash guard makes.
CRASH_GUARD = "crash guard"

ChangeRefusal = replicated_outcomes.ChangeRefusal


def apply_environment(
    state: data.ReplicatedState,
    command: commands.ApplyEnvironment | commands.ReplaceEnvironment,
) -> data.ReplicatedState | ChangeRefusal:
    """Replaces the document and starts the rollouts that it adds or implies."""
    document = command.environment
    previous_document = state.environment
    services = {service.id for service in document.services}
    state = dataclasses.replace(
        state,
        environment=document,
        drained=_drained_data_centres(document, state.drained),
        counters=_remaining_counters(state, document),
    )
    state = replicated_rollouts.roll_back_removed_services(state, services)
    declared = [
        plan for plan in document.rollouts if plan.id not in state.rollouts
    ]
    services_in_rollout = {plan.service for plan in declared}
    services_in_rollout |= replicated_rollouts.unfinished_by_service(
        state
    ).keys()
    implied = _implied_rollouts(state, previous_document, services_in_rollout)
    state = _update_versions(state)
    for plan in (*declared, *implied):
        if state.versions.get(plan.service) == plan.version:
            state = replicated_rollouts.record_finished(state, plan)
            continue
        start_result = replicated_rollouts.start_plan(state, plan)
        if isinstance(start_result, ChangeRefusal):
            return start_result
        state = start_result
    return replicated_rollouts.drop_oldest_finished(state)


def replace_environment(
    state: data.ReplicatedState, command: commands.ReplaceEnvironment
) -> replicated_outcomes.CommandResult:
    """Replaces the document unless its revision is not higher.

    The outcome is the revision in force. A resent or outdated document changes
    nothing.
    """
    current = state.environment.revision if state.environment else -1
    if command.environment.revision <= current:
        return replicated_outcomes.CommandResult(state, current)
    new_state = apply_environment(state, command)
    if isinstance(new_state, ChangeRefusal):
        return replicated_outcomes.CommandResult(state, new_state)
    new_state = replicated_outcomes.increment_number(
        new_state, command.operator
    )
    return replicated_outcomes.CommandResult(
        new_state, command.environment.revision
    )


def set_data_centre(
    state: data.ReplicatedState, command: commands.SetDataCentre
) -> data.ReplicatedState | ChangeRefusal:
    """Drains or restores a data centre."""
    data_centres = state.environment.data_centres if state.environment else ()
    if command.data_centre not in {item.id for item in data_centres}:
        return ChangeRefusal(f"no data centre {command.data_centre!r}")
    if command.state is data.DataCentreState.DRAINED:
        drained = state.drained | {command.data_centre}
    else:
        drained = state.drained - {command.data_centre}
    return dataclasses.replace(state, drained=drained)


def refuse_digest(
    state: data.ReplicatedState, command: commands.RefuseDigest
) -> replicated_outcomes.CommandResult:
    """Refuses a request digest.

    The environment number is incremented, so that routers fetch the change.
    """
    if command.digest in state.refused_digests:
        return replicated_outcomes.CommandResult(state, None)
    digest_order = (*state.digest_order, command.digest)[-MAX_REFUSED_DIGESTS:]
    state = dataclasses.replace(
        state,
        digest_order=digest_order,
        refused_digests=frozenset(digest_order),
    )
    state = replicated_outcomes.increment_number(state, CRASH_GUARD)
    return replicated_outcomes.CommandResult(state, None)


def release_digest(
    state: data.ReplicatedState, command: commands.ReleaseDigest
) -> replicated_outcomes.CommandResult:
    """Ends the refusal of a request digest or a prompt part."""
    if command.digest not in state.refused_digests:
        return replicated_outcomes.CommandResult(state, None)
    digest_order = tuple(
        digest for digest in state.digest_order if digest != command.digest
    )
    state = dataclasses.replace(
        state,
        digest_order=digest_order,
        refused_digests=frozenset(digest_order),
    )
    state = replicated_outcomes.increment_number(state, CRASH_GUARD)
    return replicated_outcomes.CommandResult(state, None)


def _drained_data_centres(
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


def _remaining_counters(
    state: data.ReplicatedState, document: data.Environment
):
    services = {item.id for item in document.services}
    # The row with an empty workspace holds the virtual time of the service.
    workspaces = {item.id for item in document.workspaces} | {""}
    counters = state.counters
    for key in state.counters:
        if key[0] not in services or key[1] not in workspaces:
            counters = counters.delete(key)
    return counters


def _implied_rollouts(
    state: data.ReplicatedState,
    previous_document: data.Environment | None,
    services_in_rollout: set[str],
) -> tuple[data.RolloutPlan, ...]:
    """Plans a rollout for each service whose document version changed."""
    previous_versions = (
        {item.id: item.version for item in previous_document.services}
        if previous_document
        else {}
    )
    return tuple(
        data.RolloutPlan(
            id=f"{service.id}-{service.version}-{state.number + 1}",
            service=service.id,
            version=service.version,
        )
        for service in state.environment.services
        if service.id in state.versions
        and service.version
        != previous_versions.get(service.id, service.version)
        and service.version != state.versions[service.id]
        and service.id not in services_in_rollout
        and service.version
        not in replicated_rollouts.abandoned_versions(state, service.id)
    )


def _update_versions(state: data.ReplicatedState) -> data.ReplicatedState:
    """Sets the versions of new services and drops those of removed ones."""
    versions = state.versions
    for service in state.environment.services:
        if service.id not in versions:
            versions = versions.set(service.id, service.version)
    declared_services = {service.id for service in state.environment.services}
    for service_id in state.versions:
        # The version of a removed service is kept while finished rollouts of
        # the service are stored, so that an old document cannot revert the
        # version when the service is added again.
        if service_id not in declared_services and not (
            replicated_rollouts.abandoned_versions(state, service_id)
        ):
            versions = versions.delete(service_id)
    return dataclasses.replace(state, versions=versions)
