"""Second filter: what is asked, of whom, and how it may be treated."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from typing import Any

import http_sfv
import orjson
from reelscale_core import admission, error, routing

from . import call, parts

MODEL_PATHS = (b"/v1/chat/completions", b"/v1/completions")
SERVICES = b"/services/"
# Methods that may run twice (RFC 9110, 9.2.2).
IDEMPOTENT = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
LONGEST_KEY = 200
# Leading characters of a prompt that make up its prefix key.
PREFIX_CHARS = 512


async def classify(asked: call.Call, given: parts.Parts) -> None:
    """Tell the target and the treatment of a request.

    Raises:
      CodedError: "no-such-path" or "no-such-target", status 404; a bad
        body or header, 400.
    """
    path = asked.http.path
    asked.idempotency_key = _once_key(asked)
    asked.priority = _priority(asked)
    if path in MODEL_PATHS:
        _classify_model(asked, given)
    elif path.startswith(SERVICES):
        _classify_service(asked, given)
    else:
        raise error.CodedError(
            "no-such-path",
            step="classify",
            status=404,
            detail="see the documentation for the paths served",
        )
    if asked.target not in asked.workspace.targets:
        raise error.CodedError(
            "no-such-target",
            step="classify",
            status=404,
            detail=f"this workspace has no target {asked.target!r}",
        )


def _classify_model(asked: call.Call, given: parts.Parts) -> None:
    data = _json_body(asked)
    asked.is_model = True
    asked.target = str(data.get("model", ""))
    asked.stream = bool(data.get("stream", False))
    asked.method = "POST"
    asked.path = asked.http.path.decode()
    data["stream"] = True
    asked.body = orjson.dumps(data)
    asked.headers = [("Content-Type", "application/json")]
    asked.at_most_once = bool(asked.idempotency_key)
    asked.idempotent = not asked.at_most_once
    session = asked.http.getHeader("x-session-id") or ""
    asked.requirements = routing.Requirements(
        hall=given.settings.hall,
        session=f"{asked.workspace.name}/{session}" if session else "",
        prefix=_prefix(asked, data),
    )


def _classify_service(asked: call.Call, given: parts.Parts) -> None:
    rest = asked.http.uri[len(SERVICES) :].decode("latin-1")
    name, slash, path = rest.partition("/")
    asked.target = name.partition("?")[0]
    asked.method = asked.http.method.decode()
    asked.path = slash + path if slash else "/"
    asked.body = asked.http.content.read()
    asked.headers = _passed_headers(asked.http)
    service = given.config.state.services_by_name.get(asked.target)
    marked = service is not None and any(
        asked.path.startswith(prefix) for prefix in service.once_paths
    )
    asked.at_most_once = marked or bool(asked.idempotency_key)
    asked.idempotent = not asked.at_most_once and asked.method in IDEMPOTENT
    asked.requirements = routing.Requirements(hall=given.settings.hall)


def _json_body(asked: call.Call) -> dict[str, Any]:
    try:
        data = orjson.loads(asked.http.content.read())
    except orjson.JSONDecodeError as bad:
        raise _bad_request("bad-json", str(bad)) from bad
    if not isinstance(data, dict):
        raise _bad_request("bad-json", "the body must be a JSON object")
    return data


def _prefix(asked: call.Call, data: dict[str, Any]) -> str:
    """Return a key for the leading part of the prompt."""
    text = data.get("prompt")
    if not isinstance(text, str):
        text = orjson.dumps(data.get("messages", [])).decode()
    head = f"{asked.workspace.name}\0{text[:PREFIX_CHARS]}"
    return hashlib.blake2b(head.encode(), digest_size=8).hexdigest()


def _once_key(asked: call.Call) -> str:
    """Return the Idempotency-Key, scoped to the workspace."""
    key = (asked.http.getHeader("idempotency-key") or "").strip('"')
    if len(key) > LONGEST_KEY:
        raise _bad_request("bad-key", "the Idempotency-Key is too long")
    return key


def _priority(asked: call.Call) -> int:
    """Return the urgency of the Priority header (RFC 9218)."""
    header = asked.http.getHeader("priority")
    if not header:
        return asked.workspace.priority
    fields = http_sfv.Dictionary()
    try:
        fields.parse(header.encode())
        urgency = int(fields["u"].value)
    except (ValueError, KeyError, TypeError):
        return asked.workspace.priority
    return min(max(urgency, 0), admission.CLASSES - 1)


def _passed_headers(request: Any) -> list[tuple[str, str]]:
    rows = []
    for name, values in request.requestHeaders.getAllRawHeaders():
        text = name.decode("latin-1")
        rows += [(text, value.decode("latin-1")) for value in values]
    return rows


def _bad_request(code: str, detail: str) -> error.CodedError:
    return error.CodedError(code, step="classify", status=400, detail=detail)
