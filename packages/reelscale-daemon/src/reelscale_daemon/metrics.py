"""Metrics of one process, with a bounded number of label sets.

A histogram for each of 26,000 workspaces would not fit, so the first
WORKSPACES_NAMED workspaces that are seen get labels of their own and all
others share the label "other".
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .controllers import follower, freshness

WORKSPACES_NAMED = 64
OTHER = "other"
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60)


class Metrics:
    """The metrics that a process keeps; docs list every one."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._named: set[str] = set()
        self.first_byte = self._histogram(
            "reelscale_first_byte_seconds",
            "From a request's arrival to the first byte of its answer.",
        )
        self.whole = self._histogram(
            "reelscale_request_seconds",
            "From a request's arrival to the end of its answer.",
        )
        self.requests = self._counter(
            "reelscale_requests_total",
            "Requests ended, by outcome and code.",
        )
        self.attempts = self._counter(
            "reelscale_attempts_total", "Attempts sent, by upstream."
        )
        self.backoffs = self._counter(
            "reelscale_backoffs_total",
            "Refusals that asked for no requests for a while, by upstream.",
        )
        self.backing_off = self._gauge(
            "reelscale_upstreams_backed_off",
            "Upstreams that want no requests of this process now.",
        )
        self.dropped = self._counter(
            "reelscale_chunks_dropped_total",
            "Late, repeated or foreign chunks that were dropped.",
        )
        self.queued = self._gauge(
            "reelscale_queued", "Requests waiting, by target."
        )
        self.running = self._gauge(
            "reelscale_running", "Requests in progress."
        )
        self.offset = self._gauge(
            "reelscale_config_offset", "Log offset that is in force here."
        )
        self.log_incarnation = self._gauge(
            "reelscale_log_incarnation",
            "Incarnation of the log; it rises when the log is restored.",
        )
        self.log_age = self._gauge(
            "reelscale_log_age_seconds",
            "Since this process last heard from the platform's log.",
        )
        self.refused = self._counter(
            "reelscale_agent_refused_total", "Attempts refused, by code."
        )
        self.layout = self._gauge(
            "reelscale_layout_version", "Layout in force at this upstream."
        )
        self.loop_age = self._gauge(
            "reelscale_loop_success_age_seconds",
            "Since a loop last did its work, by loop.",
        )
        self.loop_faults = self._gauge(
            "reelscale_loop_faults",
            "Unforeseen errors of a loop since the start, by loop.",
        )
        self.confirmed_age = self._gauge(
            "reelscale_confirmed_age_seconds",
            "Since an answer of the store to this entry or a peer confirmed "
            "what it knows, by source.",
        )
        self.reads_renewed = self._gauge(
            "reelscale_reads_renewed",
            "Reads given up since the start as nothing confirmed what is "
            "known, by source.",
        )
        self.unusable = self._counter(
            "reelscale_announcements_unusable_total",
            "Announcements of upstreams that cannot be trusted, by reason.",
        )
        self.suspensions = self._counter(
            "reelscale_suspensions_total",
            "Suspensions of this machine that were noticed.",
        )
        self.keys = self._gauge(
            "reelscale_once_keys", "Keys remembered by this agent."
        )

    def set_progress(self, loops: Iterable[follower.Progress]) -> None:
        """Set the gauges of loops before a scrape."""
        for progress in loops:
            labels = {"loop": progress.name}
            self.loop_age.set(labels, progress.success_age_s)
            self.loop_faults.set(labels, progress.faults)

    def set_freshness(self, sources: Iterable[freshness.Freshness]) -> None:
        """Set the gauges of the sources that are read, before a scrape."""
        for source in sources:
            labels = {"source": source.source}
            self.confirmed_age.set(labels, source.age_s)
            self.reads_renewed.set(labels, source.renewed)

    def workspace(self, name: str) -> str:
        """Return the label for a workspace: its name, or "other"."""
        if name in self._named:
            return name
        if len(self._named) < WORKSPACES_NAMED:
            self._named.add(name)
            return name
        return OTHER

    def text(self) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        body, headers = render(self.registry, ["text/plain"])
        return body, headers["Content-Type"]

    def _histogram(self, name: str, doc: str) -> Histogram:
        buckets = [*BUCKETS_S, float("inf")]
        return Histogram(name, doc, registry=self.registry, buckets=buckets)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)
