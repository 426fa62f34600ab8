"""CBOR encoding of registered data classes.

A record is encoded as the array `[tag, {field: value}]`. Decoding checks every
field against the type that the data class declares.
"""

import dataclasses
import functools
from typing import Any

import cbor2
import pydantic
from returns import result

from waxwingrack.core import registry

_CONFIG = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeError:
    """Reason why bytes could not be decoded."""

    reason: str


class Codec:
    """Encodes and decodes the records of one registry.

    Attributes:
      types: Data classes by tag.
    """

    def __init__(self, types: registry.Registry[str, type]):
        self.types = types

    @functools.cached_property
    def _adapters(self) -> dict[str, pydantic.TypeAdapter]:
        return {
            tag: pydantic.TypeAdapter(forbid_extra(cls))
            for tag, cls in self.types.items()
        }

    @functools.cached_property
    def _tags(self) -> dict[type, str]:
        return {cls: tag for tag, cls in self.types.items()}

    def encode(self, record: Any) -> bytes:
        """Encodes a record of a registered type.

        Args:
          record: The record.

        Returns:
          CBOR bytes.

        Raises:
          KeyError: The type of the record is not registered.
        """
        tag = self._tags[type(record)]
        fields = self._adapters[tag].dump_python(record, exclude_defaults=True)
        return cbor2.dumps([tag, _plain(fields)])

    def decode(self, blob: bytes) -> result.Result[Any, DecodeError]:
        """Decodes and checks a record.

        Args:
          blob: CBOR bytes as received.

        Returns:
          Success with the record, or Failure with a DecodeError when the bytes
          are not CBOR, the tag is unknown, or a field is missing, unknown or
          of a wrong type.
        """
        try:
            parts = cbor2.loads(blob)
        except (cbor2.CBORError, ValueError, TypeError) as exc:
            return result.Failure(DecodeError(f"not a known record: {exc}"))
        return self.decode_parts(parts)

    def decode_parts(self, parts: Any) -> result.Result[Any, DecodeError]:
        """Checks a record whose CBOR is already decoded; see `decode`."""
        try:
            tag, fields = parts
            adapter = self._adapters[tag]
        except (ValueError, TypeError, KeyError) as exc:
            return result.Failure(DecodeError(f"not a known record: {exc}"))
        try:
            return result.Success(adapter.validate_python(fields))
        except pydantic.ValidationError as exc:
            first_error = exc.errors(include_url=False, include_input=False)[0]
            field_path = ".".join(str(part) for part in first_error["loc"])
            return result.Failure(
                DecodeError(f"{tag}: {field_path}: {first_error['msg']}")
            )


def forbid_extra(cls: type) -> type:
    """Makes the validation of a data class refuse unknown fields.

    Args:
      cls: Data class; it is changed in place.

    Returns:
      The same class.
    """
    if "__pydantic_config__" not in cls.__dict__:
        cls.__pydantic_config__ = _CONFIG
    return cls


def _plain(value: Any) -> Any:
    """Converts enumeration members, tuples and sets to plain CBOR types."""
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_plain(item) for item in value]
    if isinstance(value, (set, frozenset)):
        return sorted(_plain(item) for item in value)
    if isinstance(value, str):
        return str(value)
    return value
