"""JSON documents: parsing, type checks and rules over the parsed text.

Rules look at the parsed JSON and not at the typed record, and they skip values
of a wrong type. So one run reports the faults of types and of meaning together.
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

# Ids stand in URLs, metric labels and log lines.
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DIGEST = re.compile(r"[0-9a-f]{64}")

_TYPE_RULES = {
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


# A rule takes the parsed document and yields pairs of JSON path and text.
Rule = Callable[[Any], Iterable[tuple[str, str]]]
Rules = registry.Registry[str, Rule]
Checked = result.Result[Any, tuple[SettingError, ...]]


def load(path: str, cls: type, rules: Rules) -> Checked:
    """Reads and checks a file.

    Args:
      path: Path of the file.
      cls: Data class of the document.
      rules: Rules to check.

    Returns:
      Success with the record, or Failure with all faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        document = json.loads(text, object_pairs_hook=_unique_keys)
    except OSError as exc:
        return _failure(path, f"cannot be read: {exc.strerror}")
    except RecursionError:
        return _failure(path, "is nested too deeply")
    except ValueError as exc:
        return _failure(path, f"is not JSON: {exc}")
    return check(document, path, cls, rules)


def check(document: object, source: str, cls: type, rules: Rules) -> Checked:
    """Checks a parsed JSON document.

    Args:
      document: Value as `json.loads` returns it.
      source: Name that the faults carry.
      cls: Data class of the document.
      rules: Rules to check.

    Returns:
      Success with the record, or Failure with all faults.
    """
    record, faults = _typed(document, cls)
    broken = itertools.chain.from_iterable(
        rule(document) for _, rule in rules.items()
    )
    # A value of a wrong type may break a rule too; the first text is enough.
    seen = {path for path, _ in faults}
    faults += [(path, rule) for path, rule in broken if path not in seen]
    if faults:
        return result.Failure(
            tuple(SettingError(source, *fault) for fault in sorted(faults))
        )
    return result.Success(record)


def _failure(path: str, rule: str) -> Checked:
    return result.Failure((SettingError(path, "$", rule),))


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise ValueError(f"an object has the key {twice[0]!r} twice")
    return dict(pairs)


@functools.cache
def _adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(codec.forbid_extra(cls))


def _typed(document: object, cls: type) -> tuple[Any, list[tuple[str, str]]]:
    # Strict checks of JSON text take arrays for tuples and text for
    # enumerations, which strict checks of Python values refuse.
    try:
        text = json.dumps(document)
        return _adapter(cls).validate_json(text, strict=True), []
    except pydantic.ValidationError as exc:
        found = exc.errors(include_url=False, include_input=False)
    except (TypeError, ValueError, RecursionError) as exc:
        return None, [("$", f"is not JSON: {exc}")]
    return None, [
        (
            json_path(error["loc"]),
            _TYPE_RULES.get(error["type"], error["msg"]),
        )
        for error in found
    ]


def json_path(parts: Iterable[str | int]) -> str:
    """Writes keys and indices as a JSON path."""
    return "$" + "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts
    )


# ---------------------------------------------------------------------------
# Parts of rules
# ---------------------------------------------------------------------------

NUMBER = (int, float)


def select(
    document: Any, pattern: str, kind: type | tuple[type, ...]
) -> Iterator[tuple[str, Any]]:
    """Finds the values at a path.

    Args:
      document: Parsed JSON.
      pattern: Path such as `$.services[*].routes[*].path`.
      kind: Type of the values; values of other types are left out.

    Yields:
      JSON path and value.
    """
    found = [("$", document)]
    for part in re.findall(r"\.(\w+)|(\[\*\])", pattern):
        found = list(_descend(found, part[0]))
    for path, value in found:
        # `bool` is a subtype of `int` in Python but not in JSON.
        if isinstance(value, kind) and not (
            isinstance(value, bool) and kind is not bool
        ):
            yield path, value


def _descend(
    found: list[tuple[str, Any]], name: str
) -> Iterator[tuple[str, Any]]:
    for path, value in found:
        if not name and isinstance(value, list):
            for index, item in enumerate(value):
                yield f"{path}[{index}]", item
        elif name and isinstance(value, dict) and name in value:
            yield f"{path}.{name}", value[name]


def repeated(
    pairs: Iterable[tuple[str, Hashable]], what: str
) -> Iterator[tuple[str, str]]:
    """Finds values that occur before.

    Args:
      pairs: JSON paths and values.
      what: What the values are, for the text.

    Yields:
      JSON path of the repetition and text with the first path.
    """
    first: dict[Hashable, str] = {}
    for path, value in pairs:
        if value in first:
            yield path, f"{what} must be unique: equals {first[value]}"
        first.setdefault(value, path)


def ids(document: Any, *patterns: str) -> Iterator[tuple[str, str]]:
    """Checks the form of ids."""
    for path, value in _select_all(document, patterns, str):
        if not _ID.fullmatch(value):
            yield (
                path,
                "an id has 1 to 64 characters of A-Z a-z 0-9 . _ - and starts "
                "with a letter or digit",
            )


def digests(document: Any, *patterns: str) -> Iterator[tuple[str, str]]:
    """Checks the form of SHA-256 digests."""
    for path, value in _select_all(document, patterns, str):
        if not _DIGEST.fullmatch(value):
            yield path, "a digest is SHA-256 in 64 lower-case hex characters"


def ranges(
    document: Any, limits: dict[str, tuple[float, float]], unit: str
) -> Iterator[tuple[str, str]]:
    """Checks that numbers lie within limits.

    Args:
      document: Parsed JSON.
      limits: Lowest and highest value by path.
      unit: Unit of the numbers, for the text.

    Yields:
      JSON path and text.
    """
    for pattern, (low, high) in limits.items():
        for path, value in select(document, pattern, NUMBER):
            if not (math.isfinite(value) and low <= value <= high):
                yield path, f"must be from {low:,} to {high:,} {unit}"


def addresses(
    document: Any, pattern: str
) -> Iterator[tuple[str, ipaddress.IPv4Address | ipaddress.IPv6Address]]:
    """Finds the IP numbers of addresses; others are left out."""
    for path, host in select(document, f"{pattern}.host", str):
        try:
            yield path, ipaddress.ip_address(host)
        except ValueError:
            continue


def _select_all(
    document: Any, patterns: Iterable[str], kind: type
) -> Iterator[tuple[str, Any]]:
    return itertools.chain.from_iterable(
        select(document, pattern, kind) for pattern in patterns
    )
