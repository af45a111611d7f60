"""Transport alone: a message as a frame, and a damaged one told by type."""

from cranebank.transport.frames import BadFrame, Decoder, encode
from cranebank.transport.messages import LinkHeartbeat

frame = encode(LinkHeartbeat(7))
decoder = Decoder()
print("in two parts:", decoder.feed(frame[:5]) + decoder.feed(frame[5:]))
try:
    Decoder().feed(frame[:-1] + b"?")
except BadFrame as error:
    print("damaged:", error.code)
