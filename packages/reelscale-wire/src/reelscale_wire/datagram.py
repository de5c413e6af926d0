"""Encoding of datagrams in Thrift's compact protocol."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, TypeVar

from thrift import TSerialization
from thrift.protocol import TCompactProtocol

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
Message = TypeVar("Message")


def encode(message: Any) -> bytes:
    """Encode a generated struct."""
    return TSerialization.serialize(message, _FACTORY)


def decode(data: bytes, kind: type[Message]) -> Message | None:
    """Decode a generated struct; None if the data is invalid."""
    try:
        return TSerialization.deserialize(kind(), data, _FACTORY)
    except Exception:
        # Datagrams are untrusted; the decoder raises various exceptions.
        return None
