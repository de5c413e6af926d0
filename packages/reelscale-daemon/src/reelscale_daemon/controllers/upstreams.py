"""What an entry knows of the upstreams, and may send to them.

It answers what routing asks, and takes what answers tell; who lists the
upstreams is left to directory.py.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Callable, Iterable
from typing import Any

from reelscale_core import announcement, clock, routing, starts
from reelscale_core import state as states
from reelscale_wire import link

from .. import metrics
from ..adapters import base
from ..filters import call
from . import backoffs, departures, groups, rate_limits, targets, usage
from . import view as views


class Upstreams:
    """The views of all upstreams, and what limits the work for each.

    Attributes:
      views_by_name: The views.
      waiting_by_target: Requests that wait here, by target.
      on_change: Called after a change of the views.
      rate_limits: The limits that upstreams name themselves.
      backoffs: Which upstreams want no requests for a while.
      departures: Which upstreams have said in answers that they leave.
      groups: Which group of ranks each one is in.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        usage: usage.Usage,
        links: link.Links,
        agent_port: int,
        peers: Callable[[], Iterable[str]],
        metrics: metrics.Metrics,
    ) -> None:
        """Make it; no upstream is known yet.

        Args:
          reactor: The loop.
          clock: The time.
          usage: The requests of other entries.
          links: Connections to agents and other entries.
          agent_port: Port of the agents beside ranks, 0 if there are none.
          peers: Gives addresses of other entries.
          metrics: Counts what upstreams ask.
        """
        self.views_by_name: dict[str, views.View] = {}
        self.waiting_by_target: dict[str, int] = {}
        self.on_change: list[Callable[[], None]] = []
        self._clock = clock
        self._usage = usage
        self._targets = targets.Targets(clock=clock)
        self.rate_limits = rate_limits.RateLimits(
            reactor=reactor,
            clock=clock,
            entries=lambda: usage.entries,
            on_update=usage.changed,
            on_free=self.notify_change,
        )
        self.backoffs = backoffs.Backoffs(
            reactor=reactor,
            clock=clock,
            metrics=metrics,
            on_over=self.notify_change,
        )
        self.departures = departures.Departures(
            clock=clock, on_change=self.notify_change
        )
        self.groups = groups.Groups(
            reactor=reactor,
            clock=clock,
            links=links,
            ranks=self.ranks,
            agent_port=agent_port,
            place=lambda: usage.place,
            peers=peers,
        )

    def notify_change(self) -> None:
        """Let requests that wait look again for an upstream."""
        for listener in self.on_change:
            listener()

    def candidates(self, target: str) -> list[routing.Candidate]:
        """Return the upstreams that may get new work of a target."""
        now = self._clock.monotonic()
        by_group: dict[str, list[routing.Candidate]] = {}
        for view in self._serving(target):
            found = self._candidate(view, now)
            by_group.setdefault(found.group, []).append(found)
        rows = []
        for group, found in by_group.items():
            if routing.used(found) >= self._targets.limit(target, group):
                # Streams must keep their pace: each has what it uses now.
                found = [
                    item._replace(slots=item.local_in_flight) for item in found
                ]
            rows += found
        return rows

    def group_of(self, name: str) -> str:
        """Return the group of an upstream, "" while it is not known."""
        view = self.views_by_name.get(name)
        return self.groups.of(view.upstream.start.key) if view else ""

    def group_names(self, target: str) -> set[str]:
        """Return the groups that serve a target."""
        found = self._serving(target)
        return {self.groups.of(view.upstream.start.key) for view in found}

    def ranks(self) -> list[announcement.Announcement]:
        """Return the upstreams that are ranks of groups."""
        return [
            view.upstream
            for view in self.views_by_name.values()
            if not view.gone and self._targets.has_ranks(view.upstream.target)
        ]

    def _candidate(self, view: views.View, now: float) -> routing.Candidate:
        """Return how routing is to look at an upstream."""
        upstream = view.upstream
        start = upstream.start
        limited = self.rate_limits.blocks(start.key)
        return view.candidate(
            now,
            remote_in_flight=self._usage.others(start.key),
            waiting=self._targets.queue_capacity(
                upstream.target, upstream.slots
            ),
            avoided=limited or self.backoffs.blocks(start),
            group=self.groups.of(start.key),
        )

    def dispatch_wait_s(self, target: str, *, ahead: int) -> float:
        """Return when upstreams themselves let the next request go.

        Args:
          target: Where it goes.
          ahead: Requests that wait before it.

        Returns:
          Seconds; 0 if any upstream of the target takes what comes, inf if
          no request of this entry may go to any.
        """
        starts = [view.upstream.start for view in self._serving(target)]
        waits = [self._dispatch_wait_s(start, ahead=0) for start in starts]
        if not waits or min(waits) == 0:
            return 0.0
        # What waits before it goes by turns to all of them.
        each = ahead // len(starts)
        return min(
            self._dispatch_wait_s(start, ahead=each) for start in starts
        )

    def _dispatch_wait_s(
        self, start: announcement.Start, *, ahead: int
    ) -> float:
        """Return when a start itself lets a request go, in seconds."""
        limit_s = self.rate_limits.wait_s(start.key, ahead=ahead)
        return max(limit_s, self.backoffs.left_s(start))

    def limits_per_s(self, target: str) -> list[float]:
        """Return the limits that upstreams of a target have named."""
        found = (
            self.rate_limits.limit_per_s(view.upstream.start.key)
            for view in self._serving(target)
        )
        return [per_s for per_s in found if per_s is not None]

    def _serving(self, target: str) -> list[views.View]:
        return [
            view
            for view in self.views_by_name.values()
            if view.serves(target)
            and not self.departures.leaving(view.upstream.start)
        ]

    def listed(self, start: announcement.Start) -> bool:
        """Tell whether a start is listed and not leaving."""
        view = self.view_of(start)
        if view is None or view.gone or self.departures.leaving(start):
            return False
        return not view.upstream.leaving

    def restarted(self, start: announcement.Start) -> bool:
        """Tell whether another start has taken the place of one."""
        view = self.views_by_name.get(start.name)
        return view is not None and starts.are_distinct(
            view.upstream.born_ms, start.born_ms
        )

    def record_sent(self, view: views.View) -> None:
        """Note that a request goes to an upstream."""
        self.rate_limits.sent(view.upstream.start.key)

    def record_rate_limit(
        self, start: announcement.Start, stated: base.RateLimit
    ) -> None:
        """Take what an answer says of the limit of its upstream."""
        if self.view_of(start) is not None:
            self.rate_limits.record_limit(start.key, stated)

    def record_backoff(
        self, start: announcement.Start, seconds: float
    ) -> None:
        """Take for how long a refusal asks to be left alone."""
        self.backoffs.record_backoff(self._known_start(start), seconds)

    def record_leaving(self, start: announcement.Start) -> None:
        """Take that an answer says that its upstream leaves."""
        self.departures.record_leaving(self._known_start(start))

    def refusal_reason(self, start: announcement.Start) -> str:
        """Return why a start wants no request now; "" if it may get one."""
        if self.departures.leaving(start):
            return "leaving"
        return "backoff" if self.backoffs.left_s(start) else ""

    def _known_start(self, start: announcement.Start) -> announcement.Start:
        """Return the start that an answer is of.

        One that was on its way as another start was heard of may be that
        one's, which serves at the same address.
        """
        view = self.views_by_name.get(start.name)
        return start if view is None else view.upstream.start

    def record_pause(self, asked: call.Call, pause_s: float) -> None:
        """Take the pause between two events of a stream."""
        longest_s = asked.route.pause_s
        if not longest_s or asked.choice is None:
            return
        group = self.group_of(asked.choice.name)
        rows = self.candidates(asked.target)
        self._targets.record_pause(
            asked.target,
            group,
            pause_s,
            longest_s=longest_s,
            used=routing.used([row for row in rows if row.group == group]),
        )

    def reachable(self, target: str) -> bool:
        """Tell whether any upstream of a target is listed."""
        return bool(self.candidates(target))

    def record_demand(self, target: str) -> None:
        """Nothing to do: views need no request to stay fresh."""

    async def refresh(self, target: str | None = None) -> None:
        """Nothing to do: the list is followed all the time."""

    def view_of(self, start: announcement.Start) -> views.View | None:
        """Return how a start of an upstream is seen; None once it is over."""
        view = self.views_by_name.get(start.name)
        same = view is not None and view.upstream.start == start
        return view if same else None

    def record_load(
        self, start: announcement.Start, load: announcement.Load
    ) -> None:
        """Take what an upstream's answer told of its load."""
        view = self.view_of(start)
        if view is None:
            return
        now = self._clock.monotonic()
        view.record_load(
            load, now, remote_in_flight=self._usage.others(start.key)
        )

    def record_refused(self, start: announcement.Start) -> None:
        """Note that an upstream refused a request without running it."""
        view = self.view_of(start)
        if view is not None:
            view.refused_at = self._clock.monotonic()

    def record_answer_time(self, target: str, seconds: float) -> None:
        """Take how long an upstream took for a whole answer."""
        self._targets.record_duration(target, seconds)

    def apply_config(self, state: states.State) -> None:
        """Take from the configuration how soon answers are wanted."""
        self._targets.apply_config(state)

    def counts(self) -> dict[str, int]:
        """Return this entry's requests in progress by start."""
        rows = self.views_by_name.values()
        return {
            v.upstream.start.key: v.local_in_flight
            for v in rows
            if v.local_in_flight
        }
