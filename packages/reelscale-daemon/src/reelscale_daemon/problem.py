"""Errors as problem details (RFC 9457)."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import math
from typing import Any

import orjson
from reelscale_core import error

from .filters import writer

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:reelscale:problem:"


def write(http: Any, problem: error.CodedError, request_id: str) -> None:
    """Answer an HTTP request with an error, now."""
    body = orjson.dumps(document(problem))
    http.setResponseCode(problem.status)
    http.setHeader("content-type", CONTENT_TYPE)
    http.setHeader("content-length", str(len(body)))
    http.setHeader(writer.OUTCOME_HEADER, problem.outcome)
    http.setHeader(writer.REQUEST_HEADER, request_id)
    if problem.status == 401:
        http.setHeader("www-authenticate", "Bearer")
    if problem.retry_after_s is not None:
        after = max(1, math.ceil(problem.retry_after_s))
        http.setHeader("retry-after", str(after))
    http.write(body)
    http.finish()


def document(problem: error.CodedError) -> dict[str, Any]:
    """Return the problem document of an error."""
    return {
        "type": TYPE_PREFIX + problem.code,
        "title": problem.code.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "code": problem.code,
        "step": problem.step,
        "peer": problem.peer,
        "outcome": problem.outcome,
        "faults": [fault._asdict() for fault in problem.faults],
    }
