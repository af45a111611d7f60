"""Use the transport on its own: encode a message as a frame, and reject a damaged frame with its error code."""

from cranebank.transport.frames import BadFrame, Decoder, encode
from cranebank.transport.messages import LinkHeartbeat

frame = encode(LinkHeartbeat(7))
decoder = Decoder()
print("decoded from two chunks:", decoder.feed(frame[:5]) + decoder.feed(frame[5:]))
try:
    Decoder().feed(frame[:-1] + b"?")
except BadFrame as error:
    print("damaged:", error.code)
