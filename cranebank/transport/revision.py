"""Revision numbers of configurations, and the msgpack and JSON codecs that carry them.

Operators choose the numbers, for instance a time of day to the microsecond, so a revision may exceed the 64 bits of a
msgpack integer. Up to 64 bits it is encoded as an integer, beyond that as big-endian bytes.
"""

from __future__ import annotations

from types import UnionType
from typing import Any, TypeVar

import msgspec

MAX_REVISION_DIGITS = 128  # keeps headers, datagrams and metrics small
MAX_REVISION = 10**MAX_REVISION_DIGITS - 1
MAX_REVISION_BYTES = (MAX_REVISION.bit_length() + 7) // 8
MAX_MSGPACK_INTEGER = 2**64 - 1

T = TypeVar("T")


class Revision(int):
    """The revision of a configuration, from 0 (no configuration) to MAX_REVISION."""

    __slots__ = ()

    def __new__(cls, value: int = 0) -> Revision:
        """Create a revision. Raises ValueError outside the valid range."""
        if not 0 <= value <= MAX_REVISION:
            raise ValueError(f"expected an integer from 0 to 10^{MAX_REVISION_DIGITS} - 1")
        return super().__new__(cls, value)


NO_REVISION = Revision(0)


def msgpack_encoder() -> msgspec.msgpack.Encoder:
    """Return a msgpack encoder of structs with revisions."""
    return msgspec.msgpack.Encoder(enc_hook=_encode_revision)


def msgpack_decoder(kind: type[T] | UnionType) -> msgspec.msgpack.Decoder[T]:
    """Return a msgpack decoder of a type with revisions."""
    return msgspec.msgpack.Decoder(kind, dec_hook=_decode_revision)


def json_decoder(kind: type[T], strict: bool = True) -> msgspec.json.Decoder[T]:
    """Return a JSON decoder of a type with revisions."""
    return msgspec.json.Decoder(kind, strict=strict, dec_hook=_decode_revision)


def json_encoder() -> msgspec.json.Encoder:
    """Return a JSON encoder of structs and mappings with revisions."""
    return msgspec.json.Encoder(enc_hook=_plain_integer)


def _plain_integer(value: object) -> int:
    if not isinstance(value, Revision):
        raise NotImplementedError(f"cannot encode {type(value).__name__}")
    return int(value)


def _encode_revision(value: object) -> int | bytes:
    number = _plain_integer(value)
    if number <= MAX_MSGPACK_INTEGER:
        return number
    return number.to_bytes((number.bit_length() + 7) // 8, "big")


def _decode_revision(kind: type, value: Any) -> Revision:
    if kind is not Revision:
        raise NotImplementedError(f"cannot decode {kind.__name__}")
    if isinstance(value, bytes) and len(value) <= MAX_REVISION_BYTES:
        value = int.from_bytes(value, "big")
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("expected a revision")
    return Revision(value)
