"""Loads and validates environment documents of operators."""

from collections.abc import Iterator
import dataclasses
import itertools
import re
from typing import Any

from returns import result

from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.load import documents
from waxwingrack.load.documents import SettingError

RULES: documents.Rules = registry.Registry("environment rule")

Faults = Iterator[tuple[str, str]]

# Limits in seconds by path. A value above the upper limit is most likely given
# in milliseconds, a value below the lower limit in minutes or hours.
TIME_LIMITS_S = {
    "$.services[*].queue_timeout_s": (0.01, 3_600.0),
    "$.services[*].answer_timeout_s": (0.01, 14_400.0),
    "$.services[*].idle_timeout_s": (0.01, 3_600.0),
    "$.services[*].orders.answer_timeout_s": (0.01, 600.0),
    "$.services[*].orders.load_timeout_s": (0.1, 86_400.0),
    "$.services[*].orders.max_order_delay_s": (0.1, 86_400.0),
    "$.services[*].scaling.boot_s": (0.0, data.MAX_BOOT_S),
    "$.rollouts[*].deadline_s": (0.1, 172_800.0),
    "$.rollouts[*].watch_s": (0.01, 43_200.0),
    "$.key_retention_s": (1.0, 2_678_400.0),
    "$.caller_limits.header_timeout_s": (0.01, 3_600.0),
    "$.caller_limits.idle_connection_s": (0.01, 3_600.0),
}
BYTE_LIMITS = {
    "$.caller_limits.max_body_bytes": (1, 1_073_741_824),
    "$.caller_limits.max_header_bytes": (256, 1_048_576),
}
COUNT_LIMITS = {
    "$.workspaces[*].max_queue": (1, 1_000_000),
    "$.workspaces[*].max_connections": (1, 1_000_000),
    "$.services[*].max_connections": (0, 1_000_000),
}
EXPOSURE_LIMITS = {
    "$.rollouts[*].max_exposure": (0.001, 1.0),
    "$.rollouts[*].exposure_reserve": (0, 1_000_000),
}
LOADING_LIMITS = {"$.max_loading": (1, 10_000)}
SHARE_LIMITS = {"$.services[*].orders.min_serving_share": (0.0, 1.0)}
SCALING_LIMITS = {
    "$.services[*].scaling.min": (0, data.MAX_SCALED_SERVERS),
    "$.services[*].scaling.max": (0, data.MAX_SCALED_SERVERS),
}
# With a larger ratio of weights, the workspace with the smaller weight would
# get no noticeable share.
MAX_WEIGHT = 1_000_000.0

_PATH_PATTERN = re.compile(r"/|(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+")
_METHOD_PATTERN = re.compile(r"[A-Z]+")
# First segment of the paths that routers serve themselves.
RESERVED_SEGMENT = "-"


def load(
    path: str,
) -> result.Result[data.Environment, tuple[SettingError, ...]]:
    """Reads an environment document from a file.

    Args:
      path: Path of the JSON file.

    Returns:
      Success with the document, or Failure with all faults.
    """
    return documents.load(path, data.Environment, RULES)


def check(
    document: object, source: str = "document"
) -> result.Result[data.Environment, tuple[SettingError, ...]]:
    """Validates an environment document that has been parsed from JSON.

    Args:
      document: Value as `json.loads` returns it.
      source: Name of the document in error messages, such as a file name.

    Returns:
      Success with the document, or Failure with all faults.
    """
    return documents.check(document, source, data.Environment, RULES)


def check_plan(plan: data.RolloutPlan) -> Faults:
    """Validates a rollout by the rules for rollouts in a document.

    Args:
      plan: The rollout. Whether its service is declared is not checked.

    Yields:
      JSON path within the plan and broken rule of each fault.
    """
    document = {"rollouts": [dataclasses.asdict(plan)]}
    for rule in (_check_ids, _check_times, _check_watch_within_deadline):
        for path, text in rule(document):
            yield path.replace("$.rollouts[0]", "$"), text


@RULES.register("ids")
def _check_ids(document: Any) -> Faults:
    return documents.check_ids(
        document,
        "$.name",
        "$.workspaces[*].id",
        "$.services[*].id",
        "$.services[*].version",
        "$.services[*].routes[*].id",
        "$.data_centres[*].id",
        "$.data_centres[*].region",
        "$.rollouts[*].id",
        "$.rollouts[*].version",
    )


@RULES.register("unique_ids")
def _check_unique_ids(document: Any) -> Faults:
    for table in ("workspaces", "services", "data_centres", "rollouts"):
        id_values = documents.select_values(document, f"$.{table}[*].id", str)
        yield from documents.find_repeated(id_values, "an id")
    for path, service in documents.select_values(
        document, "$.services[*]", dict
    ):
        for id_path, text in documents.find_repeated(
            documents.select_values(service, "$.routes[*].id", str),
            "a route id",
        ):
            yield path + id_path[1:], text.replace("$", path)


@RULES.register("references")
def _check_references(document: Any) -> Faults:
    services = {
        value
        for _, value in documents.select_values(
            document, "$.services[*].id", str
        )
    }
    for path, name in documents.select_values(
        document, "$.rollouts[*].service", str
    ):
        if name not in services:
            yield path, f"no service has the id {name!r}"


@RULES.register("weights")
def _check_weights(document: Any) -> Faults:
    for path, weight in documents.select_values(
        document, "$.workspaces[*].weight", documents.NUMBER_TYPES
    ):
        if not 0 < weight <= MAX_WEIGHT:
            yield path, f"a weight is above 0 and at most {MAX_WEIGHT:,.0f}"


@RULES.register("times")
def _check_times(document: Any) -> Faults:
    return documents.check_ranges(document, TIME_LIMITS_S, "seconds")


@RULES.register("counts")
def _check_counts(document: Any) -> Faults:
    yield from documents.check_ranges(document, COUNT_LIMITS, "requests")
    yield from documents.check_ranges(document, BYTE_LIMITS, "bytes")
    yield from documents.check_ranges(document, EXPOSURE_LIMITS, "of requests")


@RULES.register("orders")
def _check_orders(document: Any) -> Faults:
    yield from documents.check_ranges(document, LOADING_LIMITS, "engines")
    yield from documents.check_ranges(document, SHARE_LIMITS, "of the slots")


@RULES.register("scaling")
def _check_scaling(document: Any) -> Faults:
    yield from documents.check_ranges(document, SCALING_LIMITS, "servers")
    for path, scaling in documents.select_values(
        document, "$.services[*].scaling", dict
    ):
        low, high = scaling.get("min"), scaling.get("max")
        if (
            isinstance(low, documents.NUMBER_TYPES)
            and isinstance(high, documents.NUMBER_TYPES)
            and high < low
        ):
            yield f"{path}.max", "must not be below min"


@RULES.register("watch_within_deadline")
def _check_watch_within_deadline(document: Any) -> Faults:
    defaults = {
        field.name: field.default
        for field in dataclasses.fields(data.RolloutPlan)
        if field.name.endswith("_s")
    }
    for path, rollout in documents.select_values(
        document, "$.rollouts[*]", dict
    ):
        plan = defaults | rollout
        durations_s = [plan["watch_s"], plan["deadline_s"]]
        if (
            all(
                isinstance(value, documents.NUMBER_TYPES)
                for value in durations_s
            )
            and durations_s[0] >= durations_s[1]
        ):
            yield f"{path}.watch_s", "must be shorter than deadline_s"


@RULES.register("token_digests")
def _check_token_digests(document: Any) -> Faults:
    patterns = (
        "$.workspaces[*].token_digests[*]",
        "$.announce_token_digests[*]",
    )
    yield from documents.check_digests(document, *patterns)
    # A token with two owners would not identify its caller.
    yield from documents.find_repeated(
        itertools.chain.from_iterable(
            documents.select_values(document, pattern, str)
            for pattern in patterns
        ),
        "a token digest",
    )


@RULES.register("route_paths")
def _check_route_paths(document: Any) -> Faults:
    for path, value in documents.select_values(
        document, "$.services[*].routes[*].path", str
    ):
        if not _PATH_PATTERN.fullmatch(value):
            yield (
                path,
                "a path starts with / and has no empty segment, no query and "
                "no / at its end",
            )
        elif value.split("/")[1] == RESERVED_SEGMENT:
            yield path, "paths below /- belong to the routers"


@RULES.register("route_methods")
def _check_route_methods(document: Any) -> Faults:
    for path, methods in documents.select_values(
        document, "$.services[*].routes[*].methods", list
    ):
        items = list(documents.select_values({"m": methods}, "$.m[*]", str))
        for item, method in items:
            if not _METHOD_PATTERN.fullmatch(method):
                yield (
                    path + item[len("$.m") :],
                    "an HTTP method is written in capital letters",
                )


@RULES.register("ambiguous_routes")
def _check_ambiguous_routes(document: Any) -> Faults:
    earlier_routes: list[tuple[str, str, set[str]]] = []
    for json_path, route in documents.select_values(
        document, "$.services[*].routes[*]", dict
    ):
        url_path, methods = route.get("path"), route.get("methods", [])
        if not isinstance(url_path, str) or not isinstance(methods, list):
            continue
        method_set = {item for item in methods if isinstance(item, str)}
        for other_json_path, other_url_path, other_methods in earlier_routes:
            # An empty set of methods stands for all methods.
            if url_path == other_url_path and (
                not method_set
                or not other_methods
                or method_set & other_methods
            ):
                yield (
                    f"{json_path}.path",
                    f"the choice is ambiguous: {other_json_path} has the same "
                    "path and method",
                )
                break
        earlier_routes.append((json_path, url_path, method_set))
