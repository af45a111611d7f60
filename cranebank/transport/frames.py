"""Framing for the connections between the system's own processes: a `construct` header and a msgpack body.

A frame is: magic, kind of body (1), length of the body in bytes, its CRC-32; then the body. A damaged, oversized or
unknown frame raises a typed error that ends the connection; the peer reconnects with fresh state.
"""

from __future__ import annotations

from zlib import crc32

import construct
import msgspec

from cranebank.transport.messages import Message
from cranebank.transport.revision import msgpack_decoder, msgpack_encoder

MAGIC = 0x6372
MAX_BODY_BYTES = 9 << 20  # a configuration of 4 MiB, as a document within a message, and headroom
HEADER = construct.Struct(
    "magic" / construct.Const(MAGIC, construct.Int16ub),
    "kind" / construct.Int16ub,
    "length" / construct.Int32ub,
    "checksum" / construct.Int32ub,
).compile()
HEADER_BYTES = 12

_encoder = msgpack_encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgpack_decoder(Message)


class BadFrame(Exception):
    """Raised for bytes that are not a valid frame; ``code`` is the invalid part: magic, length, checksum or body."""

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.code = code


def encode_items(items: tuple[msgspec.Struct, ...]) -> msgspec.Raw:
    """Encode a list of items once, for use in many messages."""
    return msgspec.Raw(_encoder.encode(items))


def encode(message: object) -> bytes:
    """Return the frame that carries a message of ``messages.py``."""
    body = _encoder.encode(message)
    header: bytes = HEADER.build({"kind": 1, "length": len(body), "checksum": crc32(body)})
    return header + body


class Decoder:
    """Incremental frame decoder; buffers at most one incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._body_length = 0  # of the frame whose header has been read; 0: no header yet
        self._checksum = 0

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that these bytes complete. Raises BadFrame."""
        self._buffer += data
        messages: list[Message] = []
        while True:
            if not self._body_length:
                if len(self._buffer) < HEADER_BYTES:
                    return messages
                try:
                    header = HEADER.parse(bytes(self._buffer[:HEADER_BYTES]))
                except construct.ConstructError as error:
                    raise BadFrame("magic", type(error).__name__) from None
                if header.kind != 1 or not 0 < header.length <= MAX_BODY_BYTES:
                    raise BadFrame(
                        "length",
                        f"expected up to {MAX_BODY_BYTES} bytes of kind 1, got {header.length} of {header.kind}",
                    )
                self._body_length, self._checksum = header.length, header.checksum
                del self._buffer[:HEADER_BYTES]
            if len(self._buffer) < self._body_length:
                return messages
            body = bytes(self._buffer[: self._body_length])
            del self._buffer[: self._body_length]
            self._body_length = 0
            if crc32(body) != self._checksum:
                raise BadFrame("checksum")
            try:
                messages.append(_decoder.decode(body))
            except msgspec.MsgspecError as error:
                raise BadFrame("body", str(error)) from None

    @property
    def is_empty(self) -> bool:
        """Whether no incomplete frame is buffered."""
        return not self._buffer and not self._body_length


def decode_datagram(data: bytes) -> Message:
    """Return the message of a datagram, which must be exactly one complete frame. Raises BadFrame."""
    decoder = Decoder()
    messages = decoder.feed(data)
    if len(messages) != 1 or not decoder.is_empty:
        raise BadFrame("length", f"expected one frame in a datagram of {len(data)} bytes")
    return messages[0]
