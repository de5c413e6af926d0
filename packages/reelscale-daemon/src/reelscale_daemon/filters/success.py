"""Tells whether a success has everything that makes it one."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from ..adapters import base
from . import call, writer

STATUSES = range(200, 300)
EVENT_STREAM = b"text/event-stream"
NO_CODING = b"identity"


def flaw(request: call.Call, head: base.AnswerHead) -> str:
    """Return what a success lacks to be forwarded, "" for nothing."""
    if head.status not in STATUSES:
        return ""
    if not head.proved:
        return "a success without its proof"
    if _value(head, b"content-encoding") not in (b"", NO_CODING):
        return "a success with a content coding"
    if request.stream and not _is_stream(head):
        return "a success that is no stream"
    return ""


def _is_stream(head: base.AnswerHead) -> bool:
    """Return whether an answer is a stream of events."""
    media_type, _, _ = _value(head, b"content-type").partition(b";")
    return head.status == writer.OK and media_type.strip() == EVENT_STREAM


def _value(head: base.AnswerHead, name: bytes) -> bytes:
    """Return the value of a header in lower case, empty if it is not there."""
    values = [value for key, value in head.headers if key.lower() == name]
    return b",".join(values).strip().lower()
