"""Compact encoding of the messages between a router and the leader.

A record whose type both ends know travels as a positional array: its required
fields in order and, if any optional field differs from its default, a bit mask
of these fields and their values. Digests travel as bytes. Strings that repeat,
such as workspaces and server ids, travel once; later frames refer to them by
number. An announcement travels as its difference from the last one of the same
server on this connection: a connection delivers in order or breaks, so what was
sent on it before is what the receiver has.

Both tables belong to one direction of one connection. Each frame carries a
running number, so that a frame that was refused, skipped or recorded on another
connection cannot shift the meaning of references. A receiver that refuses a
compact frame accepts no further one; the connection must be closed.

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

# Position of a type is its number on the wire, from 1.
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
# Bounds of one direction's tables. The leader keeps both directions for each
# router: 500 strings take 6 kB at their receiver and 22 kB at their sender, and
# 240 announcements 60 kB with their strings.
MAX_REFERENCES = 512
MAX_REFERENCE_CHARS = 128
MAX_BASELINES = 256
# Frame numbers run modulo 24, as CBOR encodes integers below 24 in one byte.
FRAME_NUMBERS = 24
# Whole floats below this magnitude travel as shorter integers.
MAX_WHOLE_FLOAT = 2**31


class _FrameError(Exception):
    """A compact frame does not hold a valid message."""


@dataclasses.dataclass(slots=True)
class _Sent:
    """What the peer has received in this direction.

    Attributes:
      numbers: Numbers by string.
      announced: Last announcements by server id, without cache events.
    """

    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    announced: dict[str, data.Announcement] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class _Received:
    """What was received in this direction.

    Attributes:
      texts: Strings by number.
      announced: Last announcements by server id, without cache events.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    announced: dict[str, data.Announcement] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    """How values of one type travel.

    Attributes:
      encode: From the value to what CBOR encodes; None for the value itself.
      decode: From what CBOR decodes to the value; raises _FrameError.
    """

    encode: Callable[[Any, _Sent], Any] | None
    decode: Callable[[Any, _Received], Any]


class Encoder:
    """Encodes the messages sent on one connection."""

    def __init__(self):
        self._sent = _Sent()
        self._number = 0
        self._stale = False

    def encode(self, message: Any) -> bytes:
        """Encodes a message; the frame must be sent before any later one.

        Args:
          message: A registered message.

        Returns:
          The frame.

        Raises:
          KeyError: The type of the message is not registered.
        """
        number = _TYPE_NUMBERS.get(type(message))
        if number is None:
            return messages.CODEC.encode(message)
        # A failure below leaves strings in the table that were never sent.
        stale, self._stale = self._stale, True
        if stale or self._full():
            self._sent = _Sent()
            number = -number
        record = _record(type(message)).encode(message, self._sent)
        frame = cbor2.dumps([number, self._number, *record])
        self._number = (self._number + 1) % FRAME_NUMBERS
        self._stale = False
        return frame

    def _full(self) -> bool:
        return (
            len(self._sent.numbers) >= MAX_REFERENCES
            or len(self._sent.announced) >= MAX_BASELINES
        )


class Decoder:
    """Decodes the messages received on one connection.

    Attributes:
      broken: Whether a compact frame was refused. The references of later
        frames cannot be trusted then, and the connection must be closed.
    """

    def __init__(self):
        self.broken = False
        self._received = _Received()
        self._number = 0

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
            return _refuse(f"not a known record: {exc}")
        if type(parts) is not list or not parts or type(parts[0]) is not int:
            return messages.CODEC.decode_parts(parts)
        if self.broken:
            return _refuse("an earlier frame of the connection was refused")
        try:
            return result.Success(self._compact(parts))
        except _FrameError as exc:
            self.broken = True
            return _refuse(str(exc))

    def _compact(self, parts: list) -> Any:
        tag, *rest = parts
        if not 1 <= abs(tag) <= len(COMPACT_TYPES):
            raise _FrameError(f"not a known record: type {tag}")
        if not rest or rest[0] != self._number:
            raise _FrameError(
                f"frame number {rest[:1]}, expected {self._number}"
            )
        self._number = (self._number + 1) % FRAME_NUMBERS
        if tag < 0:
            self._received = _Received()
        kind = _record(COMPACT_TYPES[abs(tag) - 1])
        return kind.decode(rest[1:], self._received)


def _refuse(reason: str) -> result.Result[Any, codec.DecodeError]:
    return result.Failure(codec.DecodeError(reason))


# ---------------------------------------------------------------------------
# Records
# ---------------------------------------------------------------------------


@functools.cache
def _record(cls: type) -> _Kind:
    """Returns how records of a data class travel."""
    if cls is data.Announcement:
        return _announcement()
    fields = dataclasses.fields(cls)
    kinds = _field_kinds(cls)
    values_of = operator.attrgetter(*(field.name for field in fields))
    defaults = tuple(
        field.default
        for field in fields
        if field.default is not dataclasses.MISSING
    )
    required = len(fields) - len(defaults)
    encoders = tuple(kind.encode for kind in kinds)
    decoders = tuple(kind.decode for kind in kinds)
    optional = tuple(
        (1 << position, default, kind.decode)
        for position, (default, kind) in enumerate(
            zip(defaults, kinds[required:], strict=True)
        )
    )

    def encode(record: Any, sent: _Sent) -> list:
        values = values_of(record)
        out = [
            value if encoder is None else encoder(value, sent)
            for value, encoder in zip(
                values[:required], encoders[:required], strict=True
            )
        ]
        if values[required:] == defaults:
            return out
        mask, bit = 0, 1
        out.append(0)
        for value, default, encoder in zip(
            values[required:], defaults, encoders[required:], strict=True
        ):
            if value != default:
                mask |= bit
                out.append(value if encoder is None else encoder(value, sent))
            bit <<= 1
        out[required] = mask
        return out

    def decode(value: Any, received: _Received) -> Any:
        if type(value) is not list or len(value) < required:
            raise _FrameError(f"{cls.__name__}: missing fields")
        args = [
            decoder(item, received)
            for decoder, item in zip(decoders, value[:required], strict=False)
        ]
        if len(value) == required:
            return cls(*args, *defaults)
        mask = _mask(cls.__name__, value[required], len(defaults))
        position = required + 1
        _check_length(cls.__name__, value, position + mask.bit_count())
        for bit, default, decoder in optional:
            if mask & bit:
                args.append(decoder(value[position], received))
                position += 1
            else:
                args.append(default)
        return cls(*args)

    return _Kind(encode, decode)


def _mask(name: str, value: Any, bits: int) -> int:
    if type(value) is not int or not 0 <= value < 1 << bits:
        raise _FrameError(f"{name}: unknown fields")
    return value


def _check_length(name: str, value: list, expected: int) -> None:
    if len(value) != expected:
        raise _FrameError(f"{name}: {len(value)} elements, expected {expected}")


def _announcement() -> _Kind:
    """Returns how announcements travel: server id, mask and changed fields."""
    cls = data.Announcement
    # Fields that change often come last in the data class; the lowest bits
    # keep their masks short.
    fields = dataclasses.fields(cls)[:0:-1]
    kinds = _field_kinds(cls)[:0:-1]
    names = tuple(field.name for field in fields)
    identity = _reference_kind("server_id")
    columns = tuple(
        (1 << position, name, kind.encode)
        for position, (name, kind) in enumerate(zip(names, kinds, strict=True))
    )
    defaults = {
        field.name: field.default
        for field in fields
        if field.default is not dataclasses.MISSING
    }

    def encode(seen: data.Announcement, sent: _Sent) -> list:
        known = sent.announced.get(seen.server_id)
        mask, out = 0, [identity.encode(seen.server_id, sent), 0]
        for bit, name, encoder in columns:
            value = getattr(seen, name)
            if known is None:
                same = name in defaults and value == defaults[name]
            else:
                same = value == getattr(known, name)
            if not same:
                mask |= bit
                out.append(value if encoder is None else encoder(value, sent))
        out[1] = mask
        _remember(sent.announced, seen)
        return out

    def decode(value: Any, received: _Received) -> data.Announcement:
        if type(value) is not list or len(value) < 2:
            raise _FrameError("Announcement: missing fields")
        server_id = identity.decode(value[0], received)
        known = received.announced.get(server_id)
        mask = _mask("Announcement", value[1], len(names))
        _check_length("Announcement", value, 2 + mask.bit_count())
        found, position = {}, 2
        for (bit, name, _), kind in zip(columns, kinds, strict=True):
            if mask & bit:
                found[name] = kind.decode(value[position], received)
                position += 1
            elif known is not None:
                found[name] = getattr(known, name)
            elif name in defaults:
                found[name] = defaults[name]
            else:
                raise _FrameError(
                    f"Announcement: no earlier {name} of {server_id}"
                )
        seen = cls(server_id=server_id, **found)
        _remember(received.announced, seen)
        return seen

    return _Kind(encode, decode)


def _remember(
    announced: dict[str, data.Announcement], seen: data.Announcement
) -> None:
    """Keeps an announcement as the base of the next one of its server."""
    if seen.server_id in announced or len(announced) < MAX_BASELINES:
        # Cache events are changes of their own and never repeat.
        if seen.cache_events:
            seen = dataclasses.replace(seen, cache_events=())
        announced[seen.server_id] = seen


# ---------------------------------------------------------------------------
# Fields
# ---------------------------------------------------------------------------


def _field_kinds(cls: type) -> tuple[_Kind, ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        _kind(field.name, hints[field.name])
        for field in dataclasses.fields(cls)
    )


def _kind(name: str, hint: Any) -> _Kind:
    """Returns how a field travels.

    Args:
      name: Name of the field.
      hint: Its type.

    Returns:
      Its kind.

    Raises:
      TypeError: The type has no compact encoding.
    """
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin is tuple:
        return _tuple_kind(name, args)
    if origin in (typing.Union, types.UnionType):
        return _optional_kind(name, args)
    if dataclasses.is_dataclass(hint):
        return _record(hint)
    if issubclass(hint, enum.Enum):
        return _enum_kind(name, hint)
    if hint is float:
        return _float_kind(name)
    if hint is str and name in REFERENCE_FIELDS:
        return _reference_kind(name)
    if hint is str and name in DIGEST_FIELDS:
        return _digest_kind(name)
    if hint in (int, bool, str, bytes):
        return _plain_kind(name, hint)
    raise TypeError(f"no compact encoding for {name}: {hint}")


def _plain_kind(name: str, expected: type) -> _Kind:
    def decode(value: Any, _: _Received) -> Any:
        if type(value) is not expected:
            raise _FrameError(f"{name}: not {expected.__name__}")
        return value

    return _Kind(None, decode)


def _float_kind(name: str) -> _Kind:
    def encode(value: float, _: _Sent) -> float | int:
        if -MAX_WHOLE_FLOAT < value < MAX_WHOLE_FLOAT and value == int(value):
            return int(value)
        return float(value)

    def decode(value: Any, _: _Received) -> float:
        if type(value) is float:
            return value
        if type(value) is not int or abs(value) > MAX_WHOLE_FLOAT:
            raise _FrameError(f"{name}: not float")
        return float(value)

    return _Kind(encode, decode)


def _enum_kind(name: str, cls: type[enum.Enum]) -> _Kind:
    members = tuple(cls)
    positions = {member: position for position, member in enumerate(members)}

    def decode(value: Any, _: _Received) -> Any:
        if type(value) is not int or not 0 <= value < len(members):
            raise _FrameError(f"{name}: unknown value")
        return members[value]

    return _Kind(lambda value, _: positions[value], decode)


def _digest_kind(name: str) -> _Kind:
    def encode(value: str, _: _Sent) -> bytes | str:
        try:
            blob = bytes.fromhex(value)
        except ValueError:
            return value
        # Upper case and spaces would not survive.
        return blob if blob.hex() == value else value

    def decode(value: Any, _: _Received) -> str:
        if type(value) is bytes:
            return value.hex()
        if type(value) is not str:
            raise _FrameError(f"{name}: neither digest nor text")
        return value

    return _Kind(encode, decode)


def _reference_kind(name: str) -> _Kind:
    def encode(value: str, sent: _Sent) -> int | str:
        number = sent.numbers.get(value)
        if number is not None:
            return number
        if _kept(value, len(sent.numbers)):
            sent.numbers[value] = len(sent.numbers)
        return value

    def decode(value: Any, received: _Received) -> str:
        texts = received.texts
        if type(value) is int:
            if not 0 <= value < len(texts):
                raise _FrameError(f"{name}: unknown reference {value}")
            return texts[value]
        if type(value) is not str:
            raise _FrameError(f"{name}: neither reference nor text")
        if _kept(value, len(texts)):
            # Connections of many routers name the same workspaces.
            value = sys.intern(value)
            texts.append(value)
        return value

    return _Kind(encode, decode)


def _kept(text: str, count: int) -> bool:
    """Whether both ends enter a string that was sent as text."""
    return count < MAX_REFERENCES and len(text) <= MAX_REFERENCE_CHARS


def _tuple_kind(name: str, args: tuple) -> _Kind:
    repeated = args[-1] is Ellipsis
    if repeated:
        kinds = (_kind(name, args[0]),)
    else:
        kinds = tuple(_kind(name, arg) for arg in args)
    first = kinds[0]

    def encode(value: tuple, sent: _Sent) -> list:
        own = kinds if not repeated else (first,) * len(value)
        return [
            item if kind.encode is None else kind.encode(item, sent)
            for kind, item in zip(own, value, strict=True)
        ]

    def decode(value: Any, received: _Received) -> tuple:
        if type(value) is not list:
            raise _FrameError(f"{name}: not an array")
        if repeated:
            return tuple([first.decode(item, received) for item in value])
        _check_length(name, value, len(kinds))
        return tuple(
            kind.decode(item, received)
            for kind, item in zip(kinds, value, strict=True)
        )

    return _Kind(encode, decode)


def _optional_kind(name: str, args: tuple) -> _Kind:
    (hint,) = (arg for arg in args if arg is not types.NoneType)
    inner = _kind(name, hint)

    def encode(value: Any, sent: _Sent) -> Any:
        if value is None or inner.encode is None:
            return value
        return inner.encode(value, sent)

    def decode(value: Any, received: _Received) -> Any:
        return None if value is None else inner.decode(value, received)

    return _Kind(encode, decode)


_TYPE_NUMBERS = {cls: number for number, cls in enumerate(COMPACT_TYPES, 1)}
