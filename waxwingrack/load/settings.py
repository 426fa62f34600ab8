"""Loads and validates the settings of one process."""

from collections.abc import Iterator
import dataclasses
import itertools
from typing import Any

from returns import result

from waxwingrack.core import data
from waxwingrack.core import registry
from waxwingrack.load import documents
from waxwingrack.load.documents import SettingError

RULES: documents.Rules = registry.Registry("settings rule")

Faults = Iterator[tuple[str, str]]

REQUIRED_FIELDS = {
    data.Role.ROUTER: ("callers",),
    data.Role.CONTROLLER: ("control", "data_folder", "operator_token_file"),
}
# Addresses on which the process listens; port 0 selects a free port.
_OWN_ADDRESSES = ("$.operators", "$.callers", "$.control")
_PEER_ADDRESSES = ("$.controllers[*].control", "$.controllers[*].operators")
_PROVIDER_ADDRESS = "$.duties.address"
# Addresses that need TLS unless they are loopback addresses. The callers'
# port is excluded, since the platform's load balancer terminates TLS.
_PROTECTED_ADDRESSES = ("$.operators", "$.control", *_PEER_ADDRESSES)

# Limits in seconds by path. A value above the upper limit is most likely given
# in milliseconds.
TIME_LIMITS_S = {
    "$.shutdown_delay_s": (0.0, 300.0),
    "$.shutdown_timeout_s": (0.01, 7_200.0),
    "$.body_timeout_s": (0.01, 3_600.0),
    "$.idle_connection_s": (0.01, 3_600.0),
    "$.close_timeout_s": (0.01, 3_600.0),
    "$.control_silence_s": (0.5, 2.0),
    "$.reuse_idle_s": (0.0, 4.0),
    "$.duties.usage_window_s": (0.1, 3_600.0),
    "$.duties.usage_late_s": (0.0, 3_600.0),
}
BYTE_LIMITS = {
    "$.max_body_bytes": (1, 1_073_741_824),
    "$.max_buffered_bytes": (1, 68_719_476_736),
    "$.max_header_bytes": (256, 1_048_576),
}
COUNT_LIMITS = {
    "$.max_open_connections": (1, 1_000_000),
    "$.max_pipelined_requests": (1, 1_000_000),
}
# More voting controllers would only slow down each change.
GROUP_SIZE_LIMITS = {"$.group_size": (0, 9)}
RETRY_LIMITS = {
    "$.retry_share": (0.0, 1.0),
    "$.retry_reserve": (0.0, 1_000.0),
    "$.hedge_share": (0.0, 1.0),
}
EXPOSURE_LIMITS = {
    "$.max_exposure": (0.001, 1.0),
    "$.exposure_reserve": (0, 1_000_000),
}
LINK_LIMITS = {"$.link_mbps": (0.0, 1_000_000.0)}
DESCRIPTOR_LIMITS = {"$.max_descriptors": (0, 1_000_000_000)}
CORE_LIMITS = {"$.processor_cores": (0.0, 4_096.0)}
LEASE_LIMITS_MS = {"$.duties.lease_ms": (0, 600_000)}
CALL_LIMITS = {"$.duties.calls_per_s": (0.1, 100_000.0)}
# Bodies of the largest size that the buffer must hold: a single workspace may
# use half of the buffer, each of two workspaces a third.
MIN_BUFFERED_BODIES = 4
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_BYTE_FIELDS = tuple(
    field
    for field in dataclasses.fields(data.Settings)
    if field.name in ("max_body_bytes", "max_buffered_bytes")
)
_SHARE_FIELDS = tuple(
    field
    for field in dataclasses.fields(data.Settings)
    if field.name in ("retry_share", "hedge_share")
)


def load(path: str) -> result.Result[data.Settings, tuple[SettingError, ...]]:
    """Reads the settings of a process from a file.

    Args:
      path: Path of the JSON file.

    Returns:
      Success with the settings, or Failure with all faults.
    """
    return documents.load(path, data.Settings, RULES)


def check(
    document: object, source: str = "document"
) -> result.Result[data.Settings, tuple[SettingError, ...]]:
    """Validates settings that have been parsed from JSON.

    Args:
      document: Value as `json.loads` returns it.
      source: Name of the document in error messages.

    Returns:
      Success with the settings, or Failure with all faults.
    """
    return documents.check(document, source, data.Settings, RULES)


@RULES.register("ids")
def _check_ids(document: Any) -> Faults:
    return documents.check_ids(
        document, "$.node_id", "$.data_centre", "$.controllers[*].id"
    )


@RULES.register("role_fields")
def _check_role_fields(document: Any) -> Faults:
    for _, role in documents.select_values(document, "$.role", str):
        for name in REQUIRED_FIELDS.get(role, ()):
            if document.get(name) is None:
                yield f"$.{name}", f"is required for the role {role}"


@RULES.register("protection")
def _check_protection(document: Any) -> Faults:
    if not isinstance(document, dict) or document.get("tls") is not None:
        return
    if document.get("plaintext") is True:
        return
    if document.get("shared_key_file") is None:
        yield "$.shared_key_file", "is required without tls"
    for pattern in _PROTECTED_ADDRESSES:
        for path, number in documents.find_ip_addresses(document, pattern):
            if not number.is_loopback:
                yield path, "an address other than loopback needs tls"


@RULES.register("ip_numbers")
def _check_ip_numbers(document: Any) -> Faults:
    for pattern in (*_OWN_ADDRESSES, *_PEER_ADDRESSES, _PROVIDER_ADDRESS):
        ip_numbers = dict(documents.find_ip_addresses(document, pattern))
        for path, _ in documents.select_values(
            document, f"{pattern}.host", str
        ):
            if path not in ip_numbers:
                yield path, "must be an IP number"
            elif ip_numbers[path].is_unspecified and pattern in _PEER_ADDRESSES:
                yield path, "must be an address that others can reach"


@RULES.register("ports")
def _check_ports(document: Any) -> Faults:
    limits = {f"{pattern}.port": (0, 65_535) for pattern in _OWN_ADDRESSES}
    limits |= {
        f"{pattern}.port": (1, 65_535)
        for pattern in (*_PEER_ADDRESSES, _PROVIDER_ADDRESS)
    }
    return documents.check_ranges(document, limits, "(TCP port)")


@RULES.register("own_ports_differ")
def _check_own_ports_differ(document: Any) -> Faults:
    return documents.find_repeated(
        (
            (path, (address.get("host"), port))
            for pattern in _OWN_ADDRESSES
            for path, address in documents.select_values(
                document, pattern, dict
            )
            for _, port in documents.select_values(address, "$.port", int)
            if port
            if isinstance(address.get("host"), str)
        ),
        "a listening address",
    )


@RULES.register("controllers")
def _check_controllers(document: Any) -> Faults:
    for path, peers in documents.select_values(document, "$.controllers", list):
        if not peers:
            yield path, "at least one controller is required"
    yield from documents.find_repeated(
        documents.select_values(document, "$.controllers[*].id", str),
        "the id of a controller",
    )
    yield from documents.find_repeated(
        (
            (path, (address["host"], address["port"]))
            for path, address in itertools.chain.from_iterable(
                documents.select_values(document, pattern, dict)
                for pattern in _PEER_ADDRESSES
            )
            if isinstance(address.get("host"), str)
            if isinstance(address.get("port"), int)
        ),
        "the address of a controller",
    )


@RULES.register("times")
def _check_times(document: Any) -> Faults:
    return documents.check_ranges(document, TIME_LIMITS_S, "seconds")


@RULES.register("sizes")
def _check_sizes(document: Any) -> Faults:
    yield from documents.check_ranges(document, BYTE_LIMITS, "bytes")
    yield from documents.check_ranges(document, COUNT_LIMITS, "connections")
    yield from documents.check_ranges(
        document, GROUP_SIZE_LIMITS, "controllers"
    )
    yield from documents.check_ranges(document, RETRY_LIMITS, "retries")
    yield from documents.check_ranges(document, EXPOSURE_LIMITS, "of requests")
    yield from documents.check_ranges(document, LINK_LIMITS, "Mbit/s")
    yield from documents.check_ranges(
        document, DESCRIPTOR_LIMITS, "descriptors"
    )
    yield from documents.check_ranges(document, CORE_LIMITS, "cores")
    yield from documents.check_ranges(document, LEASE_LIMITS_MS, "milliseconds")
    yield from documents.check_ranges(document, CALL_LIMITS, "calls per second")


@RULES.register("buffered_bodies")
def _check_buffered_bodies(document: Any) -> Faults:
    if not isinstance(document, dict):
        return
    path = "$.max_buffered_bytes"
    sizes = {field.name: field.default for field in _BYTE_FIELDS}
    for name in sizes:
        for _, size in documents.select_values(document, f"$.{name}", int):
            sizes[name] = size
    if (
        0
        < sizes["max_buffered_bytes"]
        < (MIN_BUFFERED_BODIES * sizes["max_body_bytes"])
    ):
        yield (
            path,
            f"must be at least {MIN_BUFFERED_BODIES} times max_body_bytes",
        )


@RULES.register("hedge_share")
def _check_hedge_share(document: Any) -> Faults:
    """Checks that second copies fit into the retry budget, which pays them."""
    shares = {field.name: field.default for field in _SHARE_FIELDS}
    for name in shares:
        for _, share in documents.select_values(
            document, f"$.{name}", (int, float)
        ):
            shares[name] = share
    if shares["hedge_share"] > shares["retry_share"]:
        yield (
            "$.hedge_share",
            f"must be at most retry_share ({shares['retry_share']:g})",
        )


@RULES.register("log_level")
def _check_log_level(document: Any) -> Faults:
    for path, level in documents.select_values(document, "$.log_level", str):
        if level not in LOG_LEVELS:
            yield path, f"must be one of {', '.join(LOG_LEVELS)}"
