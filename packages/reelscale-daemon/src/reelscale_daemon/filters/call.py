"""State of a caller's request while it passes the filter chain."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import dataclasses
import math
from collections.abc import Callable
from typing import Any

from reelscale_core import admission, model, retry, routing
from reelscale_core import route as routes
from twisted.internet import defer


@dataclasses.dataclass(kw_only=True, eq=False)
class Call:
    """One request of a caller and the state that the filters add to it.

    Attributes:
      http: The HTTP request.
      id: Unique id, also sent to the caller.
      arrived_at: Monotonic seconds.
      deadline: Monotonic seconds by which an upstream must have received it.
      answer_deadline: Monotonic seconds by which its answer must be complete.
      host: Value of the Host header.
      key: The caller's bearer key, empty for none.
      resume_after: Id of the last event that the caller received of an
        interrupted stream.
      route: The matching route, where routes are configured.
      max_attempts: Maximum number of upstreams that it is sent to.
      workspace: The workspace that sent it.
      target: The group or service that it is addressed to.
      is_model: Whether the target is a group of a model.
      stream: Whether the caller requested an event stream.
      method: Method for the upstream.
      path: Path and query for the upstream.
      headers: Headers for the upstream.
      body: Body for the upstream.
      parts: Ids of the parts of its prompt that other requests may share, in
        order.
      priority: Class, 0 the most urgent.
      at_most_once: Whether it must not run twice.
      idempotency_key: The caller's Idempotency-Key, empty for none.
      idempotent: Whether it may safely run twice.
      requirements: What routing has to take into account.
      choice: The upstream whose slot it holds, if any.
      view: View of that upstream on which the slot is counted, also after a
        restart has replaced it.
      probe: If it probes that upstream, what identifies the probe; see
        reelscale_core.circuit.
      waiting: Its entry in the queue, if it waits.
      dispatched: Fires when it leaves the queue.
      disconnected: Whether the caller has disconnected.
      on_disconnect: Called when the caller disconnects, to cancel the attempt
        in progress.
      on_expire: Called with a code to end the attempt in progress when a
        stopping process can no longer wait for it.
      outcome: How it ended, for metrics.
      code: Error code, empty for success.
      first_byte_at: Monotonic seconds of the answer's first chunk.
      attempts: Upstreams tried, each with the reason it was chosen.
      events: Number of events of a stream that were sent to the caller.
      digest: Digest that identifies it at every entry, None until computed.
      part_digests: Digests of its parts, None until computed.
      retry_after_s: Retry-After that was sent to the caller, if it was
        refused.
    """

    http: Any
    id: str
    arrived_at: float
    deadline: float
    answer_deadline: float = math.inf
    host: str = ""
    key: str = ""
    resume_after: int | None = None
    route: routes.Route | None = None
    max_attempts: int = retry.MAX_ATTEMPTS
    workspace: model.Workspace | None = None
    target: str = ""
    is_model: bool = False
    stream: bool = False
    method: str = ""
    path: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    parts: tuple[str, ...] = ()
    priority: int = 2
    at_most_once: bool = False
    idempotency_key: str = ""
    idempotent: bool = True
    requirements: routing.Requirements | None = None
    choice: routing.Choice | None = None
    view: Any = None
    probe: float | None = None
    waiting: admission.QueuedRequest | None = None
    dispatched: defer.Deferred | None = None
    disconnected: bool = False
    on_disconnect: Callable[[], Any] | None = None
    on_expire: Callable[[str], Any] | None = None
    outcome: str = ""
    code: str = ""
    first_byte_at: float | None = None
    events: int = 0
    digest: int | None = None
    part_digests: tuple[int, ...] | None = None
    retry_after_s: float | None = None
    attempts: list[str] = dataclasses.field(default_factory=list)
