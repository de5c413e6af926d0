"""Bytes of others, held against the shape that they should have.

Anything may stand in a record: another writer's, a field that is missing or
of another type, bytes that are no text.  So a message is checked as a whole
before any of it is believed.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
# The reason where bytes are no JSON, or not of the kind that they should be.
NOT_JSON = "json"


class SchemaError(Exception):
    """Bytes do not have the shape that they should.

    Attributes:
      reason: The field that is wrong, or NO_JSON; one of a small set.
      detail: What was expected, for people.
    """

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail


def decode(data: bytes | msgspec.Raw, shape: type[T]) -> T:
    """Return what bytes hold; BadShapeError if it is of another shape."""
    try:
        if isinstance(data, bytes):
            # The library does not look into fields that it passes over.
            data.decode()
        return msgspec.json.decode(data, type=shape)
    except msgspec.ValidationError as bad:
        raise SchemaError(_field(str(bad), shape), str(bad)) from bad
    except (UnicodeDecodeError, msgspec.DecodeError, RecursionError) as bad:
        raise SchemaError(NOT_JSON, str(bad)) from bad


def optional(value: Any) -> Any:
    """Return a field that need not be there; None if it is not."""
    return None if value is msgspec.UNSET else value


def _field(detail: str, shape: type[Any]) -> str:
    """Return the field that an error of the library names, else NO_JSON."""
    # It names a path, such as `$.group.name`, or a field that is missing.
    named = set(detail.replace("`", ".").replace("[", ".").split("."))
    known = getattr(shape, "__struct_fields__", ())
    fields = [name for name in known if name in named]
    return fields[0] if fields else NOT_JSON
