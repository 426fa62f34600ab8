"""Compact encoding of the messages between a router and the leader.

A record whose type both ends know is encoded as a positional array: its
required fields in order and, if any optional field differs from its default, a
bit mask of these fields and their values. Digests are encoded as bytes. Strings
that repeat, such as workspaces and server ids, are sent in full once; later
frames refer to them by number. An announcement is encoded as its difference
from the last one of the same server on this connection. A connection delivers
in order or breaks, so the receiver has everything that was sent on it before.

The table of strings and the table of announcements belong to one direction of
one connection. Each frame carries a sequence number, so that a frame that was
refused, skipped or recorded on another connection cannot shift the meaning of
references. A receiver that refuses a compact frame accepts no further one; the
connection must be closed.

All other messages use `messages.CODEC`, which needs no state.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import operator
import sys
import types
import typing
from typing import Any

import cbor2
from returns import result

from waxwingrack.core import codec
from waxwingrack.core import data
from waxwingrack.core import messages

# The position of a type, from 1, is its number on the wire.
COMPACT_TYPES = (
    messages.RouterReport,
    messages.ControllerUpdate,
    messages.KeyLookup,
    messages.KeyClaim,
    messages.KeyOutcome,
    messages.KeyRelease,
    messages.KeyAnswer,
)
# String fields whose values repeat on a connection.
REFERENCE_FIELDS = frozenset(
    {
        "workspace",
        "service",
        "route",
        "server_id",
        "incarnation",
        "version",
        "data_centre",
        "host",
        "avoid",
    }
)
# String fields that mostly hold lower-case hex digits.
DIGEST_FIELDS = frozenset({"digest", "prefix"})
# Maximum sizes of the tables of one direction. The leader keeps both directions
# for each router: 500 strings take 6 kB at their receiver and 22 kB at their
# sender, and 240 announcements take 60 kB with their strings.
MAX_REFERENCES = 512
MAX_REFERENCE_CHARS = 128
MAX_BASELINES = 256
# Frame numbers wrap around here, as CBOR encodes integers below 24 in one byte.
FRAME_NUMBERS = 24
# Whole floats below this magnitude are encoded as integers, which are shorter.
MAX_WHOLE_FLOAT = 2**31


class _FrameError(Exception):
    """Raised for a compact frame that does not contain a valid message."""


@dataclasses.dataclass(slots=True)
class _SenderTables:
    """Tables of the sender: strings and announcements that were sent.

    Attributes:
      numbers: Numbers by string.
      announcements: Last announcements by server id, without cache events.
    """

    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    announcements: dict[str, data.Announcement] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _ReceiverTables:
    """Tables of the receiver: strings and announcements that were received.

    Attributes:
      texts: Strings by number.
      announcements: Last announcements by server id, without cache events.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    announcements: dict[str, data.Announcement] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ValueCodec:
    """Encoder and decoder for values of one type.

    Attributes:
      encode: Converts a value into one that CBOR encodes; None if CBOR encodes
        the value as it is.
      decode: Converts what CBOR decodes into the value; raises _FrameError.
    """

    encode: Callable[[Any, _SenderTables], Any] | None
    decode: Callable[[Any, _ReceiverTables], Any]


class Encoder:
    """Encodes the messages sent on one connection."""

    def __init__(self):
        self._tables = _SenderTables()
        self._frame_number = 0
        self._tables_invalid = False

    def encode(self, message: Any) -> bytes:
        """Encodes a message; frames must be sent in the order of encoding.

        Args:
          message: A registered message.

        Returns:
          The frame.

        Raises:
          KeyError: The type of the message is not registered.
        """
        type_number = _TYPE_NUMBERS.get(type(message))
        if type_number is None:
            return messages.CODEC.encode(message)
        # A failure below leaves strings in the table that were never sent; the
        # next frame then starts with empty tables, as a negative type number
        # tells the receiver.
        tables_invalid, self._tables_invalid = self._tables_invalid, True
        if tables_invalid or self._tables_full():
            self._tables = _SenderTables()
            type_number = -type_number
        record = _record_codec(type(message)).encode(message, self._tables)
        frame = cbor2.dumps([type_number, self._frame_number, *record])
        self._frame_number = (self._frame_number + 1) % FRAME_NUMBERS
        self._tables_invalid = False
        return frame

    def _tables_full(self) -> bool:
        return (
            len(self._tables.numbers) >= MAX_REFERENCES
            or len(self._tables.announcements) >= MAX_BASELINES
        )


class Decoder:
    """Decodes the messages received on one connection.

    Attributes:
      frame_refused: Whether a compact frame was refused. The references of
        later frames cannot be trusted then, and the connection must be closed.
    """

    def __init__(self):
        self.frame_refused = False
        self._tables = _ReceiverTables()
        self._frame_number = 0

    def decode(self, blob: bytes) -> result.Result[Any, codec.DecodeError]:
        """Decodes and checks a message.

        Args:
          blob: Frame as received.

        Returns:
          Success with the message, or Failure with a DecodeError.
        """
        try:
            parts = cbor2.loads(blob)
        except (cbor2.CBORError, ValueError, TypeError) as exc:
            return _decode_failure(f"not a known record: {exc}")
        if type(parts) is not list or not parts or type(parts[0]) is not int:
            return messages.CODEC.decode_parts(parts)
        if self.frame_refused:
            return _decode_failure(
                "an earlier frame of the connection was refused"
            )
        try:
            return result.Success(self._decode_compact(parts))
        except _FrameError as exc:
            self.frame_refused = True
            return _decode_failure(str(exc))

    def _decode_compact(self, parts: list) -> Any:
        tag, *rest = parts
        if not 1 <= abs(tag) <= len(COMPACT_TYPES):
            raise _FrameError(f"not a known record: type {tag}")
        if not rest or rest[0] != self._frame_number:
            raise _FrameError(
                f"frame number {rest[:1]}, expected {self._frame_number}"
            )
        self._frame_number = (self._frame_number + 1) % FRAME_NUMBERS
        if tag < 0:
            self._tables = _ReceiverTables()
        record_codec = _record_codec(COMPACT_TYPES[abs(tag) - 1])
        return record_codec.decode(rest[1:], self._tables)


def _decode_failure(reason: str) -> result.Result[Any, codec.DecodeError]:
    return result.Failure(codec.DecodeError(reason))


# ---------------------------------------------------------------------------
# Records
# ---------------------------------------------------------------------------


@functools.cache
def _record_codec(cls: type) -> _ValueCodec:
    """Returns the codec for records of a data class."""
    if cls is data.Announcement:
        return _announcement_codec()
    fields = dataclasses.fields(cls)
    field_codecs = _field_codecs(cls)
    get_values = operator.attrgetter(*(field.name for field in fields))
    defaults = tuple(
        field.default
        for field in fields
        if field.default is not dataclasses.MISSING
    )
    required_count = len(fields) - len(defaults)
    encoders = tuple(field_codec.encode for field_codec in field_codecs)
    decoders = tuple(field_codec.decode for field_codec in field_codecs)
    optional_fields = tuple(
        (1 << position, default, field_codec.decode)
        for position, (default, field_codec) in enumerate(
            zip(defaults, field_codecs[required_count:], strict=True)
        )
    )

    def encode(record: Any, tables: _SenderTables) -> list:
        values = get_values(record)
        out = [
            value if encoder is None else encoder(value, tables)
            for value, encoder in zip(
                values[:required_count], encoders[:required_count], strict=True
            )
        ]
        if values[required_count:] == defaults:
            return out
        mask, bit = 0, 1
        out.append(0)
        for value, default, encoder in zip(
            values[required_count:],
            defaults,
            encoders[required_count:],
            strict=True,
        ):
            if value != default:
                mask |= bit
                out.append(value if encoder is None else encoder(value, tables))
            bit <<= 1
        out[required_count] = mask
        return out

    def decode(value: Any, tables: _ReceiverTables) -> Any:
        if type(value) is not list or len(value) < required_count:
            raise _FrameError(f"{cls.__name__}: missing fields")
        args = [
            decoder(item, tables)
            for decoder, item in zip(
                decoders, value[:required_count], strict=False
            )
        ]
        if len(value) == required_count:
            return cls(*args, *defaults)
        mask = _check_mask(cls.__name__, value[required_count], len(defaults))
        position = required_count + 1
        _check_length(cls.__name__, value, position + mask.bit_count())
        for bit, default, decoder in optional_fields:
            if mask & bit:
                args.append(decoder(value[position], tables))
                position += 1
            else:
                args.append(default)
        return cls(*args)

    return _ValueCodec(encode, decode)


def _check_mask(name: str, value: Any, bits: int) -> int:
    if type(value) is not int or not 0 <= value < 1 << bits:
        raise _FrameError(f"{name}: unknown fields")
    return value


def _check_length(name: str, value: list, expected: int) -> None:
    if len(value) != expected:
        raise _FrameError(f"{name}: {len(value)} elements, expected {expected}")


def _announcement_codec() -> _ValueCodec:
    """Returns the codec for announcements.

    An announcement is encoded as its server id, a bit mask of the fields that
    changed since the last announcement of the server, and their values.
    """
    cls = data.Announcement
    # Fields that change often come last in the data class. They get the lowest
    # bits, so that their masks are short.
    fields = dataclasses.fields(cls)[:0:-1]
    field_codecs = _field_codecs(cls)[:0:-1]
    names = tuple(field.name for field in fields)
    id_codec = _reference_codec("server_id")
    field_encoders = tuple(
        (1 << position, name, field_codec.encode)
        for position, (name, field_codec) in enumerate(
            zip(names, field_codecs, strict=True)
        )
    )
    defaults = {
        field.name: field.default
        for field in fields
        if field.default is not dataclasses.MISSING
    }

    def encode(announcement: data.Announcement, tables: _SenderTables) -> list:
        baseline = tables.announcements.get(announcement.server_id)
        mask, out = 0, [id_codec.encode(announcement.server_id, tables), 0]
        for bit, name, encoder in field_encoders:
            value = getattr(announcement, name)
            if baseline is None:
                unchanged = name in defaults and value == defaults[name]
            else:
                unchanged = value == getattr(baseline, name)
            if not unchanged:
                mask |= bit
                out.append(value if encoder is None else encoder(value, tables))
        out[1] = mask
        _store_baseline(tables.announcements, announcement)
        return out

    def decode(value: Any, tables: _ReceiverTables) -> data.Announcement:
        if type(value) is not list or len(value) < 2:
            raise _FrameError("Announcement: missing fields")
        server_id = id_codec.decode(value[0], tables)
        baseline = tables.announcements.get(server_id)
        mask = _check_mask("Announcement", value[1], len(names))
        _check_length("Announcement", value, 2 + mask.bit_count())
        field_values, position = {}, 2
        for (bit, name, _), field_codec in zip(
            field_encoders, field_codecs, strict=True
        ):
            if mask & bit:
                field_values[name] = field_codec.decode(value[position], tables)
                position += 1
            elif baseline is not None:
                field_values[name] = getattr(baseline, name)
            elif name in defaults:
                field_values[name] = defaults[name]
            else:
                raise _FrameError(
                    f"Announcement: no earlier {name} of {server_id}"
                )
        announcement = cls(server_id=server_id, **field_values)
        _store_baseline(tables.announcements, announcement)
        return announcement

    return _ValueCodec(encode, decode)


def _store_baseline(
    announcements: dict[str, data.Announcement], announcement: data.Announcement
) -> None:
    """Stores an announcement, from which the server's next one may differ."""
    if (
        announcement.server_id in announcements
        or len(announcements) < MAX_BASELINES
    ):
        # Cache events are changes themselves and do not repeat.
        if announcement.cache_events:
            announcement = dataclasses.replace(announcement, cache_events=())
        announcements[announcement.server_id] = announcement


# ---------------------------------------------------------------------------
# Fields
# ---------------------------------------------------------------------------


def _field_codecs(cls: type) -> tuple[_ValueCodec, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _field_codec(field.name, hints[field.name])
        for field in dataclasses.fields(cls)
    )


def _field_codec(name: str, hint: Any) -> _ValueCodec:
    """Returns the codec for a field.

    Args:
      name: Name of the field.
      hint: Type of the field.

    Returns:
      The codec.

    Raises:
      TypeError: The type has no compact encoding.
    """
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple:
        return _tuple_codec(name, args)
    if origin in (typing.Union, types.UnionType):
        return _optional_codec(name, args)
    if dataclasses.is_dataclass(hint):
        return _record_codec(hint)
    if issubclass(hint, enum.Enum):
        return _enum_codec(name, hint)
    if hint is float:
        return _float_codec(name)
    if hint is str and name in REFERENCE_FIELDS:
        return _reference_codec(name)
    if hint is str and name in DIGEST_FIELDS:
        return _digest_codec(name)
    if hint in (int, bool, str, bytes):
        return _plain_codec(name, hint)
    raise TypeError(f"no compact encoding for {name}: {hint}")


def _plain_codec(name: str, expected: type) -> _ValueCodec:
    def decode(value: Any, _: _ReceiverTables) -> Any:
        if type(value) is not expected:
            raise _FrameError(f"{name}: not {expected.__name__}")
        return value

    return _ValueCodec(None, decode)


def _float_codec(name: str) -> _ValueCodec:
    def encode(value: float, _: _SenderTables) -> float | int:
        if -MAX_WHOLE_FLOAT < value < MAX_WHOLE_FLOAT and value == int(value):
            return int(value)
        return float(value)

    def decode(value: Any, _: _ReceiverTables) -> float:
        if type(value) is float:
            return value
        if type(value) is not int or abs(value) > MAX_WHOLE_FLOAT:
            raise _FrameError(f"{name}: not float")
        return float(value)

    return _ValueCodec(encode, decode)


def _enum_codec(name: str, cls: type[enum.Enum]) -> _ValueCodec:
    members = tuple(cls)
    positions = {member: position for position, member in enumerate(members)}

    def decode(value: Any, _: _ReceiverTables) -> Any:
        if type(value) is not int or not 0 <= value < len(members):
            raise _FrameError(f"{name}: unknown value")
        return members[value]

    return _ValueCodec(lambda value, _: positions[value], decode)


def _digest_codec(name: str) -> _ValueCodec:
    def encode(value: str, _: _SenderTables) -> bytes | str:
        try:
            blob = bytes.fromhex(value)
        except ValueError:
            return value
        # Bytes lose upper case and spaces; such a text is sent unchanged.
        return blob if blob.hex() == value else value

    def decode(value: Any, _: _ReceiverTables) -> str:
        if type(value) is bytes:
            return value.hex()
        if type(value) is not str:
            raise _FrameError(f"{name}: neither digest nor text")
        return value

    return _ValueCodec(encode, decode)


def _reference_codec(name: str) -> _ValueCodec:
    def encode(value: str, tables: _SenderTables) -> int | str:
        number = tables.numbers.get(value)
        if number is not None:
            return number
        if _fits_table(value, len(tables.numbers)):
            tables.numbers[value] = len(tables.numbers)
        return value

    def decode(value: Any, tables: _ReceiverTables) -> str:
        texts = tables.texts
        if type(value) is int:
            if not 0 <= value < len(texts):
                raise _FrameError(f"{name}: unknown reference {value}")
            return texts[value]
        if type(value) is not str:
            raise _FrameError(f"{name}: neither reference nor text")
        if _fits_table(value, len(texts)):
            # The connections of many routers repeat the same workspaces, so
            # their tables share one copy of each string.
            value = sys.intern(value)
            texts.append(value)
        return value

    return _ValueCodec(encode, decode)


def _fits_table(text: str, count: int) -> bool:
    """Whether both ends add a string that was sent as text to their tables."""
    return count < MAX_REFERENCES and len(text) <= MAX_REFERENCE_CHARS


def _tuple_codec(name: str, args: tuple) -> _ValueCodec:
    any_length = args[-1] is Ellipsis
    if any_length:
        declared_codecs = (_field_codec(name, args[0]),)
    else:
        declared_codecs = tuple(_field_codec(name, arg) for arg in args)
    first_codec = declared_codecs[0]

    def encode(value: tuple, tables: _SenderTables) -> list:
        item_codecs = (
            declared_codecs if not any_length else (first_codec,) * len(value)
        )
        return [
            item
            if item_codec.encode is None
            else item_codec.encode(item, tables)
            for item_codec, item in zip(item_codecs, value, strict=True)
        ]

    def decode(value: Any, tables: _ReceiverTables) -> tuple:
        if type(value) is not list:
            raise _FrameError(f"{name}: not an array")
        if any_length:
            return tuple([first_codec.decode(item, tables) for item in value])
        _check_length(name, value, len(declared_codecs))
        return tuple(
            item_codec.decode(item, tables)
            for item_codec, item in zip(declared_codecs, value, strict=True)
        )

    return _ValueCodec(encode, decode)


def _optional_codec(name: str, args: tuple) -> _ValueCodec:
    (hint,) = (arg for arg in args if arg is not types.NoneType)
    value_codec = _field_codec(name, hint)

    def encode(value: Any, tables: _SenderTables) -> Any:
        if value is None or value_codec.encode is None:
            return value
        return value_codec.encode(value, tables)

    def decode(value: Any, tables: _ReceiverTables) -> Any:
        return None if value is None else value_codec.decode(value, tables)

    return _ValueCodec(encode, decode)


_TYPE_NUMBERS = {cls: number for number, cls in enumerate(COMPACT_TYPES, 1)}
