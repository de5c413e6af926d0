"""Validates JSON documents and reports all faults together."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
from importlib import resources
from typing import Any

import jsonschema

from . import error


def load(package: str, name: str) -> dict[str, Any]:
    """Read a JSON schema from a package.

    Args:
      package: Dotted name of the package.
      name: File name of the schema.
    """
    text = resources.files(package).joinpath(name).read_text()
    return json.loads(text)


def faults(document: Any, schema: dict[str, Any]) -> tuple[error.Fault, ...]:
    """Return all faults of a document, sorted by path.

    Args:
      document: A decoded JSON value.
      schema: A JSON schema, draft 2020-12.

    Returns:
      One Fault per violated rule; empty if the document is valid.
    """
    validator = jsonschema.Draft202012Validator(schema)
    result = []
    for item in validator.iter_errors(document):
        result += _unfold(item)
    return tuple(sorted(set(result)))


def check(document: Any, schema: dict[str, Any], *, step: str) -> None:
    """Raise one error with all faults of a document, if any.

    Raises:
      CodedError: Code "bad-document", status 400.
    """
    violations = faults(document, schema)
    if violations:
        raise error.CodedError(
            "bad-document",
            step=step,
            status=400,
            detail=f"{len(violations)} fault(s) in the document",
            faults=violations,
        )


def decode(text: str | bytes, *, step: str) -> Any:
    """Decode JSON text.

    Raises:
      CodedError: Code "bad-json", with line and column.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise error.CodedError(
            "bad-json", step=step, status=400, detail=str(exc)
        ) from exc


def _unfold(item: jsonschema.ValidationError) -> list[error.Fault]:
    """Return the faults of a schema error; of the best match for oneOf."""
    path = "/" + "/".join(str(part) for part in item.absolute_path)
    if item.validator == "oneOf" and item.context:
        best = jsonschema.exceptions.best_match([item])
        if best is not None and best is not item:
            return _unfold(best)
    return [error.Fault(path=path, expected=_expectation(item))]


def _expectation(item: jsonschema.ValidationError) -> str:
    match item.validator:
        case "type":
            return f"a value of type {item.validator_value}"
        case "additionalProperties":
            return f"only known keys ({item.message})"
        case "required":
            return f"the key to be there ({item.message})"
        case "const":
            return f"the value {item.validator_value!r}"
        case "enum":
            return f"one of {item.validator_value}"
        case _:
            return f"{item.validator} {item.validator_value}"
