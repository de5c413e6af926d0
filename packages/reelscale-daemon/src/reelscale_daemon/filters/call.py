"""A caller's request on its way through the chain."""

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
    """One request of a caller and what the filters found out.

    Attributes:
      http: The HTTP request.
      id: Unique id, also given to the caller.
      arrived_at: Monotonic seconds.
      deadline: Monotonic seconds by which it must have started.
      end_by: Monotonic seconds by which its answer must be whole.
      host: The host that the caller named.
      key: The caller's bearer key, empty for none.
      resume_after: Id of the last event that the caller has, of a stream
        that broke.
      route: The route that it goes by, where there are routes.
      most_attempts: Upstreams that it may be sent to.
      workspace: Whose request it is.
      target: The group or service that it goes to.
      is_model: Whether the target is a group of a model.
      stream: Whether the caller wants an event stream.
      method: Method for the upstream.
      path: Path and query for the upstream.
      headers: Headers for the upstream.
      body: Body for the upstream.
      priority: Class, 0 the most urgent.
      once: Whether it must not be run twice.
      once_key: The caller's key for that, empty for none.
      repeatable: Whether running it twice does no harm.
      wish: What it asks of routing.
      choice: The upstream whose slot it holds, if any.
      view: How that upstream is seen; the slot is counted there, also once
        it has started again and another view has taken its place.
      waiting: Its place in the queue, if it waits.
      turn: Fires when it leaves the queue.
      left: Whether the caller has gone.
      on_left: Called when it goes, to stop the attempt in progress.
      on_expire: Called with a code when the process can wait for it no
        longer, to end the attempt in progress.
      outcome: What became of it, for metrics.
      code: Error code, empty when all went well.
      first_byte_at: Monotonic seconds of the answer's first chunk.
      attempts: Upstreams tried, each with the reason it was chosen.
      events: Events of a stream that the caller got.
      digest: What names it at every entry, None while nobody has asked.
      retry_after_s: When it was told to come back, if it was refused.
    """

    http: Any
    id: str
    arrived_at: float
    deadline: float
    end_by: float = math.inf
    host: str = ""
    key: str = ""
    resume_after: int | None = None
    route: routes.Route | None = None
    most_attempts: int = retry.MOST_ATTEMPTS
    workspace: model.Workspace | None = None
    target: str = ""
    is_model: bool = False
    stream: bool = False
    method: str = ""
    path: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    priority: int = 2
    once: bool = False
    once_key: str = ""
    repeatable: bool = True
    wish: routing.Requirements | None = None
    choice: routing.Choice | None = None
    view: Any = None
    waiting: admission.Waiting | None = None
    turn: defer.Deferred | None = None
    left: bool = False
    on_left: Callable[[], Any] | None = None
    on_expire: Callable[[str], Any] | None = None
    outcome: str = ""
    code: str = ""
    first_byte_at: float | None = None
    events: int = 0
    digest: int | None = None
    retry_after_s: float | None = None
    attempts: list[str] = dataclasses.field(default_factory=list)
