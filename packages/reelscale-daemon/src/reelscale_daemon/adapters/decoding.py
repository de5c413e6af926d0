"""Decoding and validation of JSON messages from other systems.

Records may come from other writers, lack fields, have fields of other types
or not be text at all.  A message is validated completely before use.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Annotated, Any, TypeVar

import msgspec

# No count of an upstream comes near the maximum of our messages (32 bits).
MAX_COUNT = 1_000_000
# Times and numbers that only grow fit the 64 bits of our messages.
MAX_NUMBER = 2**63 - 1
MAX_NAME_CHARACTERS = 255
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
T = TypeVar("T")
# Reason for bytes that are not JSON, or not of the expected type.
NOT_JSON = "json"


class SchemaError(Exception):
    """A message does not match its schema.

    Attributes:
      reason: The invalid field, or NOT_JSON; one of a small set.
      detail: Description of the mismatch.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail


def decode(data: bytes | msgspec.Raw, shape: type[T]) -> T:
    """Decode JSON into a struct; SchemaError if it does not match."""
    try:
        if isinstance(data, bytes):
            # msgspec does not validate fields that it skips.
            data.decode()
        return msgspec.json.decode(data, type=shape)
    except msgspec.ValidationError as bad:
        raise SchemaError(_field(str(bad), shape), str(bad)) from bad
    except (UnicodeDecodeError, msgspec.DecodeError, RecursionError) as bad:
        raise SchemaError(NOT_JSON, str(bad)) from bad


def optional(value: Any) -> Any:
    """Return the value of an optional field, None if it is unset."""
    return None if value is msgspec.UNSET else value


def _field(detail: str, shape: type[Any]) -> str:
    """Return the field that an error of msgspec names, else NOT_JSON."""
    # The error has a path, such as `$.group.name`, or a missing field.
    named = set(detail.replace("`", ".").replace("[", ".").split("."))
    known = getattr(shape, "__struct_fields__", ())
    fields = [name for name in known if name in named]
    return fields[0] if fields else NOT_JSON
