"""Filter that determines the target of a request and how to handle it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from typing import Any

import http_sfv
import orjson
from reelscale_core import admission, error, routing

from . import call
from . import context as contexts

MODEL_PATHS = (b"/v1/chat/completions", b"/v1/completions")
SERVICES = b"/services/"
# Idempotent methods (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
MAX_KEY_CHARS = 200
# Leading characters of a prompt that form its prefix key.
PREFIX_CHARS = 512


async def classify(request: call.Call, context: contexts.Context) -> None:
    """Set the target of a request and how it is handled.

    Raises:
      CodedError: "no-such-path" or "no-such-target", status 404; a bad
        body or header, 400.
    """
    path = request.http.path
    request.idempotency_key = _idempotency_key(request)
    request.priority = _priority(request)
    if path in MODEL_PATHS:
        _classify_model(request, context)
    elif path.startswith(SERVICES):
        _classify_service(request, context)
    else:
        raise error.CodedError(
            "no-such-path",
            step="classify",
            status=404,
            detail="no such API path; see the documentation",
        )
    if request.target not in request.workspace.targets:
        raise error.CodedError(
            "no-such-target",
            step="classify",
            status=404,
            detail=f"this workspace has no target {request.target!r}",
        )


def _classify_model(request: call.Call, context: contexts.Context) -> None:
    data = _json_body(request)
    request.is_model = True
    request.target = str(data.get("model", ""))
    request.stream = bool(data.get("stream", False))
    request.method = "POST"
    request.path = request.http.path.decode()
    data["stream"] = True
    request.body = orjson.dumps(data)
    request.headers = [("Content-Type", "application/json")]
    request.at_most_once = bool(request.idempotency_key)
    request.idempotent = not request.at_most_once
    session = request.http.getHeader("x-session-id") or ""
    request.requirements = routing.Requirements(
        hall=context.settings.hall,
        session=f"{request.workspace.name}/{session}" if session else "",
        prefix=_prefix(request, data),
    )


def _classify_service(request: call.Call, context: contexts.Context) -> None:
    rest = request.http.uri[len(SERVICES) :].decode("latin-1")
    name, slash, path = rest.partition("/")
    request.target = name.partition("?")[0]
    request.method = request.http.method.decode()
    request.path = slash + path if slash else "/"
    request.body = request.http.content.read()
    request.headers = _forwarded_headers(request.http)
    service = context.config.state.services_by_name.get(request.target)
    listed = service is not None and any(
        request.path.startswith(prefix) for prefix in service.once_paths
    )
    request.at_most_once = listed or bool(request.idempotency_key)
    request.idempotent = (
        not request.at_most_once and request.method in IDEMPOTENT_METHODS
    )
    request.requirements = routing.Requirements(hall=context.settings.hall)


def _json_body(request: call.Call) -> dict[str, Any]:
    try:
        data = orjson.loads(request.http.content.read())
    except orjson.JSONDecodeError as bad:
        raise _bad_request("bad-json", str(bad)) from bad
    if not isinstance(data, dict):
        raise _bad_request("bad-json", "the body must be a JSON object")
    return data


def _prefix(request: call.Call, data: dict[str, Any]) -> str:
    """Return a hash of the start of the prompt, for prefix affinity."""
    text = data.get("prompt")
    if not isinstance(text, str):
        text = orjson.dumps(data.get("messages", [])).decode()
    head = f"{request.workspace.name}\0{text[:PREFIX_CHARS]}"
    return hashlib.blake2b(head.encode(), digest_size=8).hexdigest()


def _idempotency_key(request: call.Call) -> str:
    """Return the value of the Idempotency-Key header."""
    key = (request.http.getHeader("idempotency-key") or "").strip('"')
    if len(key) > MAX_KEY_CHARS:
        raise _bad_request("bad-key", "the Idempotency-Key is too long")
    return key


def _priority(request: call.Call) -> int:
    """Return the urgency of the Priority header (RFC 9218)."""
    header = request.http.getHeader("priority")
    if not header:
        return request.workspace.priority
    fields = http_sfv.Dictionary()
    try:
        fields.parse(header.encode())
        urgency = int(fields["u"].value)
    except (ValueError, KeyError, TypeError):
        return request.workspace.priority
    return min(max(urgency, 0), admission.CLASSES - 1)


def _forwarded_headers(request: Any) -> list[tuple[str, str]]:
    rows = []
    for name, values in request.requestHeaders.getAllRawHeaders():
        text = name.decode("latin-1")
        rows += [(text, value.decode("latin-1")) for value in values]
    return rows


def _bad_request(code: str, detail: str) -> error.CodedError:
    return error.CodedError(code, step="classify", status=400, detail=detail)
