"""State shared by the filters: limits, queues, routing, recent decisions."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import itertools
import math
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from reelscale_core import (
    admission,
    circuit,
    clock,
    model,
    outage,
    retry,
    route,
    routing,
    settings,
)
from reelscale_core import state as states
from reelscale_wire import link

from .. import metrics
from ..adapters import base
from ..controllers import config, outages, suspects
from ..exchange import pool
from . import call, circuits

# Number of decisions kept for "reelscale explain"; bounds their memory.
MAX_DECISIONS = 2000
# Retry-After, in seconds, for requests without a target; only a change of the
# configuration can add one.
DEFAULT_RETRY_S = 1.0

# One filter of the chain.
Filter = Callable[[call.Call, "Context"], Awaitable[None]]
# Sends one attempt and relays its answer to a Writer, the last argument.
Send = Callable[[call.Call, "Context", Any], Awaitable[None]]


class View(Protocol):
    """State of an upstream at this entry.

    Attributes:
      local_in_flight: Requests of this entry in progress at the upstream.
      breaker: Its circuit breaker.
    """

    local_in_flight: int
    breaker: circuit.Circuit


class Upstreams(Protocol):
    """Interface of the controller that tracks the upstreams.

    Attributes:
      views_by_name: Views of all known upstreams.
      waiting_by_target: Number of requests queued at this entry, by target.
      on_change: Called after a change of the views.
    """

    views_by_name: dict[str, Any]
    waiting_by_target: dict[str, int]
    on_change: list[Callable[[], None]]

    def candidates(self, target: str) -> list[routing.Candidate]:
        """Return the upstreams that may serve a target."""
        ...

    def reachable(self, target: str) -> bool:
        """Return whether any upstream of a target accepts requests."""
        ...

    def record_demand(self, target: str) -> None:
        """Record that a request needs a target."""
        ...

    def group_of(self, name: str) -> str:
        """Return the group of ranks that an upstream is in, or ""."""
        ...

    def group_names(self, target: str) -> set[str]:
        """Return the groups of ranks that serve a target."""
        ...

    def dispatch_wait_s(self, target: str, *, ahead: int) -> float:
        """Return the wait, in seconds, that upstreams' limits impose."""
        ...

    def limits_per_s(self, target: str) -> list[float]:
        """Return the rate limits that upstreams of a target stated."""
        ...

    def record_sent(self, view: Any) -> None:
        """Record that a request is sent to an upstream."""
        ...

    async def refresh(self, target: str) -> None:
        """Request new grants from the upstreams of a target."""
        ...


class Decision(NamedTuple):
    """Routing decision on a request, for "reelscale explain".

    Attributes:
      request: Id of the request.
      workspace: Its workspace.
      target: Its target.
      attempts: Upstreams tried, each with the reason it was chosen.
      outcome: "ran", "not-run" or "unknown".
      code: Error code, empty for success.
      seconds: Duration from arrival to the end.
    """

    request: str
    workspace: str
    target: str
    attempts: tuple[str, ...]
    outcome: str
    code: str
    seconds: float


class Context:
    """State of one entry that the filters read and update."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        settings: settings.Settings,
        config: config.Config,
        links: link.Links,
        membership: Upstreams,
        metrics: metrics.Metrics,
        incarnation: str,
        chain: tuple[Filter, ...],
        send: Send,
        connections: pool.Pool | None = None,
        dialect: base.Dialect | None = None,
        suspects: suspects.Suspects | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.config = config
        self.links = links
        self.membership = membership
        self.metrics = metrics
        self.incarnation = incarnation
        self.chain = chain
        self.send = send
        self.connections = connections
        self.dialect = dialect
        self.suspects = suspects
        self.routes = route.Table(routes=())
        self.running_by_workspace: dict[str, int] = {}
        self.calls: set[call.Call] = set()
        self.budget = retry.Budget()
        self.circuits = circuits.Circuits(
            reactor=reactor, clock=clock, on_probe_due=self.pump
        )
        self.outages = outages.Outages(
            clock=clock,
            group_of=membership.group_of,
            groups=membership.group_names,
        )
        self.decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )
        self.on_local_change: Callable[[], None] = lambda: None
        # Monotonic seconds at which a stop ends what is then in progress.
        self.ends_at = math.inf
        self._numbers = itertools.count(1)
        self._queues: dict[str, admission.Queue] = {}
        self._workspace_by_digest: dict[str, str] = {}
        config.listen(self._apply_config)
        membership.on_change.append(self.pump)

    def next_id(self) -> str:
        """Return an id that is unique among all requests and attempts."""
        return f"{self.settings.name}-{self.incarnation}-{next(self._numbers)}"

    def workspace_by_digest(self, digest: str) -> str | None:
        """Return the name of the workspace with a key digest."""
        return self._workspace_by_digest.get(digest)

    def queue(self, target: str) -> admission.Queue:
        """Return the queue of a target."""
        queue = self._queues.get(target)
        if queue is None:
            queue = admission.Queue(limit=self.settings.queue)
            self._queues[target] = queue
        return queue

    def retry_after_s(self, request: call.Call) -> float:
        """Return the Retry-After of a refused request, in seconds."""
        if not request.target:
            return DEFAULT_RETRY_S
        if self.outages.out(request):
            return outage.retry_after_s(self.remaining_s(request))
        queue = self.queue(request.target)
        name = request.workspace.name
        after_s = queue.retry_after_s(request.id, name, request.priority)
        dispatch_wait_s = self.membership.dispatch_wait_s(
            request.target, ahead=len(queue)
        )
        return (
            max(after_s, dispatch_wait_s)
            if dispatch_wait_s < math.inf
            else after_s
        )

    def remaining_s(self, request: call.Call) -> float:
        """Return the seconds until a request's answer deadline."""
        return request.answer_deadline - self.clock.monotonic()

    @property
    def running(self) -> int:
        """Number of requests in progress."""
        return len(self.calls)

    def enter(self, request: call.Call) -> None:
        """Count a request as in progress."""
        name = request.workspace.name
        self.running_by_workspace[name] = (
            self.running_by_workspace.get(name, 0) + 1
        )
        self.calls.add(request)

    def leave(self, request: call.Call) -> None:
        """Stop counting a request as in progress."""
        name = request.workspace.name
        self.running_by_workspace[name] -= 1
        if not self.running_by_workspace[name]:
            del self.running_by_workspace[name]
        self.calls.discard(request)

    def choose(self, request: call.Call) -> routing.Choice | None:
        """Choose an upstream for a request."""
        candidates = self.membership.candidates(request.target)
        candidates = self.outages.filter_open(request, candidates)
        if self.suspects is not None:
            candidates = self.suspects.isolate(request, candidates)
        now = self.clock.monotonic()
        return routing.choose(candidates, request.requirements, now)

    def reachable(self, target: str) -> bool:
        """Return whether any upstream of a target accepts requests."""
        return self.membership.reachable(target)

    def reserve(self, request: call.Call) -> None:
        """Take a slot of the upstream that was chosen for a request."""
        view = self.membership.views_by_name[request.choice.name]
        request.view = view
        view.local_in_flight += 1
        self.circuits.record_sent(request, view)
        self.membership.record_sent(view)
        self.outages.record_chosen(request, request.choice.name)
        self.on_local_change()

    def release(self, request: call.Call) -> None:
        """Release the slot of a request and dispatch waiting requests."""
        if request.choice is None:
            return
        view, request.view = request.view, None
        request.choice = None
        if view is not None:
            view.local_in_flight -= 1
            self.circuits.record_end(request, view)
            self.on_local_change()
        self.pump()

    def current_view(self, request: call.Call) -> View:
        """Return the current view of the chosen upstream.

        If the upstream has restarted, the slot moves to the new view.
        """
        view = self.membership.views_by_name.get(request.choice.name)
        if view is None:
            return request.view
        if view is not request.view:
            request.view.local_in_flight -= 1
            view.local_in_flight += 1
            request.view = view
        return view

    def pump(self) -> None:
        """Dispatch waiting requests while slots are free."""
        for queue in self._queues.values():
            self._pump(queue)

    def report_queue_length(self, target: str) -> None:
        """Report the queue length to membership, for the next grant."""
        self.membership.waiting_by_target[target] = len(self.queue(target))

    def set_gauges(self) -> None:
        """Update the request gauges before a scrape."""
        self.metrics.running.set({}, self.running)
        for target, count in self.membership.waiting_by_target.items():
            self.metrics.queued.set({"target": target}, count)

    def record_success(self, name: str, *, view: View | None = None) -> None:
        """Close an upstream's circuit.

        Args:
          name: The upstream.
          view: View of the start that answered; by default the current one.
        """
        view = view or self.membership.views_by_name.get(name)
        if view is not None:
            self.circuits.record_success(name, view)

    def record_failure(self, name: str, *, view: View | None = None) -> None:
        """Count a failure against an upstream's circuit."""
        view = view or self.membership.views_by_name.get(name)
        if view is not None:
            self.circuits.record_failure(name, view)

    def record_decision(self, request: call.Call) -> None:
        """Store the decision on a request, evicting the oldest."""
        self.decisions[request.id] = Decision(
            request=request.id,
            workspace=request.workspace.name if request.workspace else "",
            target=request.target,
            attempts=tuple(request.attempts),
            outcome=request.outcome,
            code=request.code,
            seconds=self.clock.monotonic() - request.arrived_at,
        )
        while len(self.decisions) > MAX_DECISIONS:
            self.decisions.popitem(last=False)

    def upstream(self, name: str) -> model.Upstream | None:
        """Return an upstream of the configuration."""
        return self.config.state.upstreams_by_name.get(name)

    def _pump(self, queue: admission.Queue) -> None:
        while True:
            entry = queue.head()
            if entry is None:
                return
            request = entry.item
            request.choice = self.choose(request)
            if request.choice is None:
                return
            queue.take(entry, self.clock.monotonic())
            self.reserve(request)
            request.dispatched.callback(None)

    def _apply_config(self, state: states.State) -> None:
        self._workspace_by_digest = {
            digest: item.name
            for item in state.workspaces_by_name.values()
            for digest in item.key_digests
        }
        self.routes = route.Table(routes=state.routes_by_name.values())


def record_first_byte(request: call.Call, context: Context) -> None:
    """Record the time of an answer's first byte."""
    if request.first_byte_at is None:
        request.first_byte_at = context.clock.monotonic()
