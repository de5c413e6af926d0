"""Messages that fit a datagram, in thrift's compact form."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, TypeVar

from thrift import TSerialization
from thrift.protocol import TCompactProtocol

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
Message = TypeVar("Message")


def encode(message: Any) -> bytes:
    """Return a generated struct as bytes."""
    return TSerialization.serialize(message, _FACTORY)


def decode(data: bytes, kind: type[Message]) -> Message | None:
    """Read a generated struct; None if the bytes are none."""
    try:
        return TSerialization.deserialize(kind(), data, _FACTORY)
    except Exception:
        # Anybody may send a datagram; the decoder raises what it likes.
        return None
