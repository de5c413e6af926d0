"""Upstreams that start again under their ids, as one entry sees them.

What the entry believes of an upstream is held against what was true of just
that start.  Records of earlier starts come late, clocks step back between two
starts, and answers, refusals and ends of requests come after their start.
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
# A living start whose record another has replaced writes again within this.
HEARTBEAT_S = 1.2
# A record may be written so long after its start sent it.
LATE_MOST_S = 6.0
FIRST_BORN_MS = 1_000_000


class OldBeliefError(AssertionError):
    """Something believed of one start is held of another."""


@dataclasses.dataclass(kw_only=True)
class Start:
    """What is true of one start.

    Attributes:
      name: Its upstream.
      born_ms: When it says that it started.
      number: Its place among the starts of its upstream.
      own: Requests of the entry in progress at it.
      others: Requests that a peer told for it.
      failures: Failures in a row that the entry saw.
      loads: What it has told of its load.
      refused: Whether it has refused a request.
      died_at: When it ended.
      stepped_back: Whether its clock was behind that of the one before.
    """

    name: str
    born_ms: int
    number: int
    own: int = 0
    others: int = 0
    failures: int = 0
    loads: list = dataclasses.field(default_factory=list)
    refused: bool = False
    died_at: float | None = None
    stepped_back: bool = False

    @property
    def key(self):
        """Return how an entry names it."""
        return announcement.Start(self.name, self.born_ms)

    @property
    def address(self):
        """Return an address that tells the starts apart."""
        return f"10.0.{self.number % 250}.1:80"


class World:
    """The upstreams, their records and one entry."""

    def __init__(self) -> None:
        self.listing = fakes.Listing()
        self.directory = self.listing.directory
        self.parts = _parts(self.listing)
        self.starts = {
            n: [Start(name=n, born_ms=FIRST_BORN_MS, number=0)] for n in NAMES
        }
        self.seen = dict.fromkeys(NAMES, -1)
        self.requests: list = []
        self.told = 0
        self.due_at: dict[str, float] = {}
        for name in NAMES:
            self._write(self.living(name))
        self._pass(1.0)

    @property
    def now(self) -> float:
        """Return the time."""
        return self.listing.clock.now

    def living(self, name: str) -> Start:
        """Return the start of an upstream that lives."""
        return self.starts[name][-1]

    def act(self, choose) -> None:
        """Do one thing and see that beliefs are those of their start."""
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
            self._tell_usage,
            self._wait,
            self._wait,
            self._restart_back,
        )
        choose.pick(acts)(choose)
        self._check()

    def check(self) -> None:
        """See that the starts that live count in the end."""
        self._pass(HEARTBEAT_S + starts.CONTENTION_S + 2)
        self._check()
        for name in NAMES:
            view = self.directory.views_by_name[name]
            if view.upstream.start != self.living(name).key:
                raise OldBeliefError(f"{name} is {view.upstream}")

    # What happens.

    def _restart(self, choose, *, back_ms: int = 0) -> None:
        name = choose.pick(NAMES)
        old = self.living(name)
        old.died_at = self.now
        ahead_ms = choose.pick((1, 700, 90_000))
        born_ms = old.born_ms - back_ms if back_ms else old.born_ms + ahead_ms
        # Two starts of the same millisecond are one by their key.
        while any(item.born_ms == born_ms for item in self.starts[name]):
            born_ms += -1 if back_ms else 1
        made = Start(
            name=name,
            born_ms=born_ms,
            number=old.number + 1,
            stepped_back=bool(back_ms),
        )
        self.starts[name].append(made)
        self._write(made)
        self._pass(0.7)

    def _restart_back(self, choose) -> None:
        """Restart with a clock that stepped back; it counts a while later."""
        self._restart(choose, back_ms=choose.pick((1, 2000)))
        self._pass(HEARTBEAT_S + starts.CONTENTION_S + 1)

    def _write_late(self, choose) -> None:
        """Write a record that an earlier start sent before it ended."""
        name = choose.pick(NAMES)
        rows = [
            item
            for item in self.starts[name][:-1]
            if self.now - item.died_at < LATE_MOST_S
        ]
        # By its time alone nobody can tell such a record from a start.
        if not rows or any(i.stepped_back for i in self.starts[name][-4:]):
            return
        self._write(choose.pick(rows))
        self.due_at.setdefault(name, self.now + HEARTBEAT_S)
        self._pass(choose.pick((0.4, 1.0)))

    def _write_again(self, choose) -> None:
        self._write(self.living(choose.pick(NAMES)))

    def _send(self, choose) -> None:
        """Give an upstream a request, if the entry may."""
        name = choose.pick(NAMES)
        view = self.directory.views_by_name.get(name)
        if view is None or not view.serves("push"):
            return
        choice = types.SimpleNamespace(name=name, reason="wait")
        asked = types.SimpleNamespace(choice=choice, view=None)
        self.parts.reserve(asked)
        start = self._true(view.upstream)
        start.own += 1
        self.requests.append((asked, start))

    def _end(self, choose):
        """Return a request in progress, which ends now."""
        if not self.requests:
            return None, None
        return self.requests.pop(choose.pick(range(len(self.requests))))

    def _answer(self, choose) -> None:
        asked, start = self._end(choose)
        if asked is None:
            return
        load = announcement.Load(choose.pick((1, 4)), start.number % 7, 6)
        self.directory.record_load(start.key, load)
        self.parts.record_success(start.name, view=asked.view)
        start.loads.append(load)
        start.failures = 0
        self._release(asked, start)

    def _fail(self, choose) -> None:
        asked, start = self._end(choose)
        if asked is None:
            return
        self.parts.record_failure(start.name, view=asked.view)
        start.failures += 1
        self._release(asked, start)

    def _refuse(self, choose) -> None:
        asked, start = self._end(choose)
        if asked is None:
            return
        self.directory.record_refused(start.key)
        start.refused = True
        self._release(asked, start)

    def _release(self, asked, start) -> None:
        self.parts.release(asked)
        start.own -= 1

    def _tell_usage(self, choose) -> None:
        """Have a peer tell what it has at the starts that it sees."""
        seen = [choose.pick(self.starts[name]) for name in NAMES]
        for rows in self.starts.values():
            for item in rows:
                item.others = 0
        for item in seen:
            item.others = choose.pick((0, 3))
        self.told += 1
        counts = {short_hash.of(i.key.key): i.others for i in seen if i.others}
        message = ttypes.Usage(
            name="f2",
            incarnation="i2",
            number=self.told,
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
        self._pass(choose.pick((0.2, 1.0, 3.0)))

    # The platform.

    def _write(self, start: Start) -> None:
        value = fakes.entry(addr=start.address, born=start.born_ms)
        self.listing.write(start.name, value)

    def _pass(self, seconds: float) -> None:
        """Let time pass; who lives and was contradicted writes again."""
        for _ in range(round(seconds / 0.1)):
            for name in [n for n, at in self.due_at.items() if at <= self.now]:
                del self.due_at[name]
                self._write(self.living(name))
            self.listing.pass_time(0.1)

    # What must be so.

    def _true(self, item: announcement.Announcement) -> Start:
        """Return the start that an announcement is of, the newest if two."""
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
                self._check_view(view, self._true(view.upstream))

    def _check_view(self, view, start: Start) -> None:
        _same("start", start.number >= self.seen[start.name], start)
        if start.number > self.seen[start.name] >= 0:
            before = self.starts[start.name][self.seen[start.name]]
            closed = before.address in self.listing.connections.closed
            _same("connections", closed, before)
        self.seen[start.name] = start.number
        _same("own", view.local_in_flight == start.own, start)
        others = self.listing.usage.others(view.upstream.start.key)
        _same("others", others == start.others, start)
        _same("load", view.load is None or view.load in start.loads, start)
        refused = view.refused_at > float("-inf")
        _same("refused", not refused or start.refused, start)
        _same("failures", view.breaker.failures == start.failures, start)


def _same(what: str, holds: bool, start: Start) -> None:
    if not holds:
        raise OldBeliefError(f"{what} is not that of {start}")


def _parts(listing) -> contexts.Context:
    """Return what filters share, over a directory."""
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


# Rules taken out, one at a time.


def _keeping(*fields: str) -> Callable[[], contextlib.AbstractContextManager]:
    """Return a rule that keeps beliefs of the start before."""
    made = directory.Directory._new_view

    def new_view(self, item):
        old = self.views_by_name.get(item.name)
        view = made(self, item)
        for field in fields if old is not None else ():
            setattr(view, field, getattr(old, field))
        return view

    return lambda: mock.patch.object(
        directory.Directory, "_new_view", new_view
    )


def _released_by_name():
    def release(self, asked):
        self.membership.views_by_name[asked.choice.name].local_in_flight -= 1

    return mock.patch.object(contexts.Context, "release", release)


def _answers_by_name():
    def view_of(self, start):
        return self.views_by_name.get(start.name)

    return mock.patch.object(directory.Directory, "view_of", view_of)


def _failures_by_name():
    def record_failure(self, name, *, view=None):
        found = self.membership.views_by_name[name]
        found.breaker = circuit.failed(found.breaker, self.clock.monotonic())

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


def _late_records_win():
    def classify(self, item, now):
        return starts.Verdict.CURRENT

    return mock.patch.object(starts.Starts, "classify", classify)


def _later_birth_always_wins():
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
    "taking late records": _late_records_win,
    "never believing a clock that stepped back": _later_birth_always_wins,
}
