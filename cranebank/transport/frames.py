"""Frames on the held connections between the system's own processes: a `construct` header, a msgpack body.

A frame is: magic, kind of body (1), length of the body in bytes, its CRC-32; then the body. Whatever is damaged, too
long or unknown ends the connection with a typed error; the other side dials again and starts afresh.
"""

from __future__ import annotations

from zlib import crc32

import construct
import msgspec

from cranebank.transport.messages import Message

MAGIC = 0x6372
MOST = 9 << 20  # bytes of a body: a configuration of 4 MiB, as a document within a message, and room
HEADER = construct.Struct(
    "magic" / construct.Const(MAGIC, construct.Int16ub),
    "kind" / construct.Int16ub,
    "length" / construct.Int32ub,
    "checksum" / construct.Int32ub,
).compile()
HEADER_BYTES = 12

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class BadFrame(Exception):
    """Bytes that are no frame of ours; ``code`` names what was wrong: magic, length, checksum or body."""

    def __init__(self, code: str, detail: str = "") -> None:
        super().__init__(f"{code}: {detail}" if detail else code)
        self.code = code


def encode_items(items: tuple[msgspec.Struct, ...]) -> msgspec.Raw:
    """A list within a message, encoded once for many messages."""
    return msgspec.Raw(_encoder.encode(items))


def encode(message: object) -> bytes:
    """The frame that carries a message of ``messages.py``."""
    body = _encoder.encode(message)
    head: bytes = HEADER.build({"kind": 1, "length": len(body), "checksum": crc32(body)})
    return head + body


class Decoder:
    """Bytes in, messages out; holds at most one unfinished frame."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._wanted = 0  # length of the body whose header was read; 0: none was
        self._checksum = 0

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete. Raises BadFrame."""
        self._held += data
        found: list[Message] = []
        while True:
            if not self._wanted:
                if len(self._held) < HEADER_BYTES:
                    return found
                try:
                    head = HEADER.parse(bytes(self._held[:HEADER_BYTES]))
                except construct.ConstructError as error:
                    raise BadFrame("magic", type(error).__name__) from None
                if head.kind != 1 or not 0 < head.length <= MOST:
                    raise BadFrame("length", f"expected up to {MOST} bytes of kind 1, got {head.length} of {head.kind}")
                self._wanted, self._checksum = head.length, head.checksum
                del self._held[:HEADER_BYTES]
            if len(self._held) < self._wanted:
                return found
            body = bytes(self._held[: self._wanted])
            del self._held[: self._wanted]
            self._wanted = 0
            if crc32(body) != self._checksum:
                raise BadFrame("checksum")
            try:
                found.append(_decoder.decode(body))
            except msgspec.MsgspecError as error:
                raise BadFrame("body", str(error)) from None

    @property
    def is_empty(self) -> bool:
        """Whether nothing unfinished is held."""
        return not self._held and not self._wanted


def decode_datagram(data: bytes) -> Message:
    """The message of a datagram, which is one whole frame and nothing else. Raises BadFrame."""
    decoder = Decoder()
    found = decoder.feed(data)
    if len(found) != 1 or not decoder.is_empty:
        raise BadFrame("length", f"expected one frame in a datagram of {len(data)} bytes")
    return found[0]
