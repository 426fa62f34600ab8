"""Parses JSON documents and validates their types and rules.

Rules check the parsed JSON instead of the typed record, and skip values of a
wrong type. So one run reports type errors and broken rules together.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import functools
import ipaddress
import itertools
import json
import math
import pathlib
import re
from typing import Any

import pydantic
from returns import result

from waxwingrack.core import codec
from waxwingrack.core import registry

# Ids are used in URLs, metric labels and log lines.
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

_TYPE_ERROR_TEXTS = {
    "missing": "is required",
    "unexpected_keyword_argument": "is not a known field",
    "dataclass_type": "must be an object",
    "tuple_type": "must be an array",
    "json_invalid": "is not JSON",
}


@dataclasses.dataclass(frozen=True, slots=True)
class SettingError:
    """One fault of a document.

    Attributes:
      file: File or other source of the document.
      path: JSON path of the faulty value, for example `$.services[1].id`.
      rule: Rule that the value breaks.
    """

    file: str
    path: str
    rule: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.rule}"


# A rule takes a parsed document and yields the JSON path and the text of each
# fault.
Rule = Callable[[Any], Iterable[tuple[str, str]]]
Rules = registry.Registry[str, Rule]
CheckResult = result.Result[Any, tuple[SettingError, ...]]


def load(path: str, cls: type, rules: Rules) -> CheckResult:
    """Reads and validates a file.

    Args:
      path: Path of the file.
      cls: Data class of the document.
      rules: Rules that the document must follow.

    Returns:
      Success with the record, or Failure with all faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except OSError as exc:
        return _failure(path, f"cannot be read: {exc.strerror}")
    except RecursionError:
        return _failure(path, "is nested too deeply")
    except ValueError as exc:
        return _failure(path, f"is not JSON: {exc}")
    return check(document, path, cls, rules)


def check(
    document: object, source: str, cls: type, rules: Rules
) -> CheckResult:
    """Validates a parsed JSON document.

    Args:
      document: Value as `json.loads` returns it.
      source: Name of the document in error messages.
      cls: Data class of the document.
      rules: Rules that the document must follow.

    Returns:
      Success with the record, or Failure with all faults.
    """
    record, faults = _validate_types(document, cls)
    rule_faults = itertools.chain.from_iterable(
        rule(document) for _, rule in rules.items()
    )
    # A value of a wrong type may break a rule, too; one fault per path is
    # reported.
    reported_paths = {path for path, _ in faults}
    faults += [
        (path, rule) for path, rule in rule_faults if path not in reported_paths
    ]
    if faults:
        return result.Failure(
            tuple(SettingError(source, *fault) for fault in sorted(faults))
        )
    return result.Success(record)


def _failure(path: str, rule: str) -> CheckResult:
    return result.Failure((SettingError(path, "$", rule),))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"an object has the key {duplicates[0]!r} twice")
    return dict(pairs)


@functools.cache
def _type_adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(codec.forbid_extra(cls))


def _validate_types(
    document: object, cls: type
) -> tuple[Any, list[tuple[str, str]]]:
    # Strict validation of JSON text accepts arrays for tuples and strings for
    # enumerations; strict validation of Python values rejects both.
    try:
        text = json.dumps(document)
        return _type_adapter(cls).validate_json(text, strict=True), []
    except pydantic.ValidationError as exc:
        type_errors = exc.errors(include_url=False, include_input=False)
    except (TypeError, ValueError, RecursionError) as exc:
        return None, [("$", f"is not JSON: {exc}")]
    return None, [
        (
            format_json_path(error["loc"]),
            _TYPE_ERROR_TEXTS.get(error["type"], error["msg"]),
        )
        for error in type_errors
    ]


def format_json_path(parts: Iterable[str | int]) -> str:
    """Formats keys and indices as a JSON path."""
    return "$" + "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts
    )


# ---------------------------------------------------------------------------
# Helpers for rules
# ---------------------------------------------------------------------------

NUMBER_TYPES = (int, float)


def select_values(
    document: Any, pattern: str, kind: type | tuple[type, ...]
) -> Iterator[tuple[str, Any]]:
    """Selects the values whose paths match a pattern.

    Args:
      document: Parsed JSON.
      pattern: Pattern such as `$.services[*].routes[*].path`.
      kind: Type of the values; values of other types are skipped.

    Yields:
      JSON path and value.
    """
    matches = [("$", document)]
    for step in re.findall(r"\.(\w+)|(\[\*\])", pattern):
        matches = list(_select_children(matches, step[0]))
    for path, value in matches:
        # `bool` is a subtype of `int` in Python but not in JSON.
        if isinstance(value, kind) and not (
            isinstance(value, bool) and kind is not bool
        ):
            yield path, value


def _select_children(
    matches: list[tuple[str, Any]], name: str
) -> Iterator[tuple[str, Any]]:
    for path, value in matches:
        if not name and isinstance(value, list):
            for index, item in enumerate(value):
                yield f"{path}[{index}]", item
        elif name and isinstance(value, dict) and name in value:
            yield f"{path}.{name}", value[name]


def find_repeated(
    pairs: Iterable[tuple[str, Hashable]], description: str
) -> Iterator[tuple[str, str]]:
    """Finds repeated values.

    Args:
      pairs: JSON paths and values.
      description: What the values are, for the error text.

    Yields:
      JSON path of each repetition and a text with the first path.
    """
    first_paths: dict[Hashable, str] = {}
    for path, value in pairs:
        if value in first_paths:
            yield (
                path,
                f"{description} must be unique: equals {first_paths[value]}",
            )
        first_paths.setdefault(value, path)


def check_ids(document: Any, *patterns: str) -> Iterator[tuple[str, str]]:
    """Checks the format of ids."""
    for path, value in _select_patterns(document, patterns, str):
        if not _ID_PATTERN.fullmatch(value):
            yield (
                path,
                "an id has 1 to 64 characters of A-Z a-z 0-9 . _ - and starts "
                "with a letter or digit",
            )


def check_digests(document: Any, *patterns: str) -> Iterator[tuple[str, str]]:
    """Checks the format of SHA-256 digests."""
    for path, value in _select_patterns(document, patterns, str):
        if not _DIGEST_PATTERN.fullmatch(value):
            yield path, "a digest is SHA-256 in 64 lower-case hex characters"


def check_ranges(
    document: Any, limits: dict[str, tuple[float, float]], unit: str
) -> Iterator[tuple[str, str]]:
    """Checks that numbers lie within limits.

    Args:
      document: Parsed JSON.
      limits: Lowest and highest value by path pattern.
      unit: Unit of the numbers, for the error text.

    Yields:
      JSON path and text.
    """
    for pattern, (low, high) in limits.items():
        for path, value in select_values(document, pattern, NUMBER_TYPES):
            if not (math.isfinite(value) and low <= value <= high):
                yield path, f"must be from {low:,} to {high:,} {unit}"


def find_ip_addresses(
    document: Any, pattern: str
) -> Iterator[tuple[str, ipaddress.IPv4Address | ipaddress.IPv6Address]]:
    """Yields the path and IP number of each address; skips host names."""
    for path, host in select_values(document, f"{pattern}.host", str):
        try:
            yield path, ipaddress.ip_address(host)
        except ValueError:
            continue


def _select_patterns(
    document: Any, patterns: Iterable[str], kind: type
) -> Iterator[tuple[str, Any]]:
    return itertools.chain.from_iterable(
        select_values(document, pattern, kind) for pattern in patterns
    )
