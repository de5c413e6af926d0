"""Model of upstreams that restart under their ids, as seen by one entry.

Guards against state of one start that is applied to another.  Records of
earlier starts arrive late, clocks step back between two starts, and answers,
refusals and ends of requests arrive after the end of their start.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import contextlib
import dataclasses
import types
from collections.abc import Callable
from unittest import mock

from reelscale_core import announcement, circuit, short_hash, starts
from reelscale_daemon import metrics
from reelscale_daemon.controllers import directory
from reelscale_daemon.filters import context as contexts
from reelscale_wire import datagram
from reelscale_wire.gen import ttypes

from features import platform_directory as fakes

NAMES = ("w1", "w2")
# Within this a running start rewrites a record that another has replaced.
HEARTBEAT_S = 1.2
# Maximum delay between the sending and the writing of a record.
MAX_DELAY_S = 6.0
FIRST_START_MS = 1_000_000


class StaleStateError(AssertionError):
    """State of one start is applied to another."""


@dataclasses.dataclass(kw_only=True)
class Start:
    """The actual state of one start.

    Attributes:
      name: Its upstream.
      born_ms: Start time that it announces.
      number: Its index among the starts of its upstream.
      local: Requests of the entry in progress at it.
      remote: Requests that a peer reported for it.
      failures: Consecutive failures observed by the entry.
      loads: Loads that it has reported.
      refused: Whether it has refused a request.
      ended_at: When it ended.
      stepped_back: Whether its clock was behind that of the start before.
    """

    name: str
    born_ms: int
    number: int
    local: int = 0
    remote: int = 0
    failures: int = 0
    loads: list = dataclasses.field(default_factory=list)
    refused: bool = False
    ended_at: float | None = None
    stepped_back: bool = False

    @property
    def key(self):
        """Return the start as announced."""
        return announcement.Start(self.name, self.born_ms)

    @property
    def address(self):
        """Return the address, which differs between starts."""
        return f"10.0.{self.number % 250}.1:80"


class World:
    """The upstreams, their records and one entry."""

    def __init__(self) -> None:
        self.listing = fakes.Listing()
        self.directory = self.listing.directory
        self.context = _context(self.listing)
        self.starts = {
            n: [Start(name=n, born_ms=FIRST_START_MS, number=0)] for n in NAMES
        }
        self.seen = dict.fromkeys(NAMES, -1)
        self.requests: list = []
        self.reports = 0
        self.rewrite_at: dict[str, float] = {}
        for name in NAMES:
            self._write(self.running(name))
        self._advance(1.0)

    @property
    def now(self) -> float:
        """Return the time."""
        return self.listing.clock.now

    def running(self, name: str) -> Start:
        """Return the running start of an upstream."""
        return self.starts[name][-1]

    def act(self, choose) -> None:
        """Carry out one random action and check the entry's state."""
        acts = (
            self._restart,
            self._write_late,
            self._write_again,
            self._send,
            self._send,
            self._answer,
            self._answer,
            self._fail,
            self._refuse,
            self._report_usage,
            self._wait,
            self._wait,
            self._restart_back,
        )
        choose.pick(acts)(choose)
        self._check()

    def check(self) -> None:
        """Check that the running starts become current."""
        self._advance(HEARTBEAT_S + starts.CONTENTION_S + 2)
        self._check()
        for name in NAMES:
            view = self.directory.views_by_name[name]
            if view.upstream.start != self.running(name).key:
                raise StaleStateError(f"{name} is {view.upstream}")

    def _restart(self, choose, *, back_ms: int = 0) -> None:
        name = choose.pick(NAMES)
        old = self.running(name)
        old.ended_at = self.now
        ahead_ms = choose.pick((1, 700, 90_000))
        born_ms = old.born_ms - back_ms if back_ms else old.born_ms + ahead_ms
        # Starts of the same millisecond have the same key.
        while any(item.born_ms == born_ms for item in self.starts[name]):
            born_ms += -1 if back_ms else 1
        start = Start(
            name=name,
            born_ms=born_ms,
            number=old.number + 1,
            stepped_back=bool(back_ms),
        )
        self.starts[name].append(start)
        self._write(start)
        self._advance(0.7)

    def _restart_back(self, choose) -> None:
        """Restart with an earlier clock, until the start is current."""
        self._restart(choose, back_ms=choose.pick((1, 2000)))
        self._advance(HEARTBEAT_S + starts.CONTENTION_S + 1)

    def _write_late(self, choose) -> None:
        """Write a delayed record of an earlier start."""
        name = choose.pick(NAMES)
        rows = [
            item
            for item in self.starts[name][:-1]
            if self.now - item.ended_at < MAX_DELAY_S
        ]
        # By its time such a record cannot be distinguished from a new start.
        if not rows or any(i.stepped_back for i in self.starts[name][-4:]):
            return
        self._write(choose.pick(rows))
        self.rewrite_at.setdefault(name, self.now + HEARTBEAT_S)
        self._advance(choose.pick((0.4, 1.0)))

    def _write_again(self, choose) -> None:
        self._write(self.running(choose.pick(NAMES)))

    def _send(self, choose) -> None:
        """Send a request to an upstream that the entry may use."""
        name = choose.pick(NAMES)
        view = self.directory.views_by_name.get(name)
        if view is None or not view.serves("push"):
            return
        choice = types.SimpleNamespace(name=name, reason="wait")
        request = types.SimpleNamespace(choice=choice, view=None)
        self.context.reserve(request)
        start = self._actual(view.upstream)
        start.local += 1
        self.requests.append((request, start))

    def _end(self, choose):
        """Remove and return a request in progress."""
        if not self.requests:
            return None, None
        return self.requests.pop(choose.pick(range(len(self.requests))))

    def _answer(self, choose) -> None:
        request, start = self._end(choose)
        if request is None:
            return
        load = announcement.Load(choose.pick((1, 4)), start.number % 7, 6)
        self.directory.record_load(start.key, load)
        self.context.record_success(start.name, view=request.view)
        start.loads.append(load)
        start.failures = 0
        self._release(request, start)

    def _fail(self, choose) -> None:
        request, start = self._end(choose)
        if request is None:
            return
        self.context.record_failure(start.name, view=request.view)
        start.failures += 1
        self._release(request, start)

    def _refuse(self, choose) -> None:
        request, start = self._end(choose)
        if request is None:
            return
        self.directory.record_refused(start.key)
        start.refused = True
        self._release(request, start)

    def _release(self, request, start) -> None:
        self.context.release(request)
        start.local -= 1

    def _report_usage(self, choose) -> None:
        """Receive a peer's report of its requests per start."""
        seen = [choose.pick(self.starts[name]) for name in NAMES]
        for rows in self.starts.values():
            for item in rows:
                item.remote = 0
        for item in seen:
            item.remote = choose.pick((0, 3))
        self.reports += 1
        counts = {short_hash.of(i.key.key): i.remote for i in seen if i.remote}
        message = ttypes.Usage(
            name="f2",
            incarnation="i2",
            number=self.reports,
            counts=counts,
            known=[],
            offset=0,
            peer="10.9.9.9:1",
            roster_offset=0,
        )
        self.listing.usage.datagramReceived(
            datagram.encode(message), ("10.9.9.9", 1)
        )

    def _wait(self, choose) -> None:
        self._advance(choose.pick((0.2, 1.0, 3.0)))

    def _write(self, start: Start) -> None:
        value = fakes.entry(addr=start.address, born=start.born_ms)
        self.listing.write(start.name, value)

    def _advance(self, seconds: float) -> None:
        """Advance the clock; running starts rewrite replaced records."""
        for _ in range(round(seconds / 0.1)):
            for name in [
                n for n, at in self.rewrite_at.items() if at <= self.now
            ]:
                del self.rewrite_at[name]
                self._write(self.running(name))
            self.listing.pass_time(0.1)

    def _actual(self, item: announcement.Announcement) -> Start:
        """Return the start of an announcement; the newest if several match."""
        rows = reversed(self.starts[item.name])
        return next(
            row
            for row in rows
            if (row.key, row.address) == (item.start, item.address)
        )

    def _check(self) -> None:
        for name in NAMES:
            view = self.directory.views_by_name.get(name)
            if view is not None:
                self._check_view(view, self._actual(view.upstream))

    def _check_view(self, view, start: Start) -> None:
        _require("start", start.number >= self.seen[start.name], start)
        if start.number > self.seen[start.name] >= 0:
            before = self.starts[start.name][self.seen[start.name]]
            closed = before.address in self.listing.connections.closed
            _require("connections", closed, before)
        self.seen[start.name] = start.number
        _require("local", view.local_in_flight == start.local, start)
        remote = self.listing.usage.others(view.upstream.start.key)
        _require("remote", remote == start.remote, start)
        _require("load", view.load is None or view.load in start.loads, start)
        refused = view.refused_at > float("-inf")
        _require("refused", not refused or start.refused, start)
        _require("failures", view.breaker.failures == start.failures, start)


def _require(what: str, holds: bool, start: Start) -> None:
    if not holds:
        raise StaleStateError(f"{what} is not that of {start}")


def _context(listing) -> contexts.Context:
    """Return the context of the filters with a directory."""
    return contexts.Context(
        reactor=listing.reactor,
        clock=listing.clock,
        settings=types.SimpleNamespace(name="f1", queue=9),
        config=types.SimpleNamespace(listen=lambda _: None),
        links=None,
        membership=listing.directory,
        metrics=metrics.Metrics(),
        incarnation="i1",
        chain=(),
        send=None,
    )


# Each function below replaces one rule by a faulty one.


def _keeping(*fields: str) -> Callable[[], contextlib.AbstractContextManager]:
    """Return a patch that keeps fields of the start before."""
    original = directory.Directory._new_view

    def new_view(self, item):
        old = self.views_by_name.get(item.name)
        view = original(self, item)
        for field in fields if old is not None else ():
            setattr(view, field, getattr(old, field))
        return view

    return lambda: mock.patch.object(
        directory.Directory, "_new_view", new_view
    )


def _released_by_name():
    def release(self, request):
        self.membership.views_by_name[request.choice.name].local_in_flight -= 1

    return mock.patch.object(contexts.Context, "release", release)


def _answers_by_name():
    def view_of(self, start):
        return self.views_by_name.get(start.name)

    return mock.patch.object(directory.Directory, "view_of", view_of)


def _failures_by_name():
    def record_failure(self, name, *, view=None):
        view = self.membership.views_by_name[name]
        view.breaker = circuit.failed(view.breaker, self.clock.monotonic())

    return mock.patch.object(
        contexts.Context, "record_failure", record_failure
    )


def _usage_by_name():
    key = property(lambda self: self.name)
    return mock.patch.object(announcement.Start, "key", key)


def _connections_kept():
    return mock.patch.object(
        fakes.Connections, "close_idle", lambda self, address: None
    )


def _late_records_accepted():
    def classify(self, item, now):
        return starts.Verdict.CURRENT

    return mock.patch.object(starts.Starts, "classify", classify)


def _latest_time_wins():
    return mock.patch.object(
        starts.Starts, "promote_due", lambda self, now: []
    )


RULES: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "as built": contextlib.nullcontext,
    "keeping own requests": _keeping("local_in_flight"),
    "keeping the circuit": _keeping("breaker"),
    "keeping the load": _keeping("load", "load_at"),
    "keeping the refusal": _keeping("refused_at"),
    "giving slots back by id": _released_by_name,
    "taking answers by id": _answers_by_name,
    "counting failures by id": _failures_by_name,
    "counting peers' requests by id": _usage_by_name,
    "keeping connections": _connections_kept,
    "taking late records": _late_records_accepted,
    "never believing a clock that stepped back": _latest_time_wins,
}
