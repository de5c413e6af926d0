"""An entry's directory over a fake store, in this process."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import types

from reelscale_core import clock, confirmation
from reelscale_daemon import metrics
from reelscale_daemon.controllers import directory, freshness, usage
from reelscale_platform import roster
from reelscale_platform import store as stores
from twisted.internet import defer, task

from standins import store as standin

ENTRY = {
    "service": "push",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


def entry(**fields):
    """Return a valid entry as bytes, with fields replaced; None omits one."""
    data = {**ENTRY, **fields}
    given = {name: value for name, value in data.items() if value is not None}
    return json.dumps(given).encode()


def record(name, value):
    """Return a record of the list."""
    return standin.keyed(name, value)


class Store:
    """A store that returns the records that a test has written."""

    def __init__(self):
        self.records = []
        self.failing = []
        self.incarnation = 0

    async def newest(self, topic, part=0):
        """Return all records so far, without compaction by key."""
        rows = [(n, stores.parse_keyed(r)) for n, r in enumerate(self.records)]
        return stores.Newest(rows, len(self.records), self.incarnation)

    async def read(self, topic, part, from_offset, *, wait_s):
        """Return the records from an offset on, or raise a planned error."""
        if self.failing:
            raise self.failing.pop(0)
        rows = self.records[from_offset:]
        return stores.Records(len(self.records), 0, rows, self.incarnation)

    def restore(self, records):
        """Come back from a copy that has these records."""
        self.records = list(records)
        self.incarnation += 1


class Connections:
    """A connection pool that records closed addresses."""

    def __init__(self):
        self.closed = []

    def close_idle(self, address):
        """Record an address."""
        self.closed.append(address)


class Listing:
    """An entry's directory and its dependencies."""

    def __init__(self):
        self.reactor, self.clock = task.Clock(), clock.FakeClock()
        self.store, self.connections = Store(), Connections()
        self.metrics = metrics.Metrics()
        self.usage = make_usage(self.reactor, self.clock)
        self.directory = directory.Directory(
            reactor=self.reactor,
            clock=self.clock,
            roster=roster.Roster(store=self.store),
            connections=self.connections,
            usage=self.usage,
            lists=types.SimpleNamespace(ask_some=_nothing, asking=False),
            links=None,
            agent_port=0,
            peers=tuple,
            freshness=make_freshness(self.reactor, self.clock, "f1"),
            name="f1",
            metrics=self.metrics,
        )
        # A first record, since a read from offset 0 is of the complete list.
        self.write("other", entry(addr="10.0.0.9:80"))
        self.running = defer.ensureDeferred(self.directory.run())
        self.pass_time(1.0)

    def write(self, name, value):
        """Write a record under a name."""
        self.store.records.append(record(name, value))

    def pass_time(self, seconds):
        """Advance the clocks in small steps."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            self.reactor.advance(0.1)

    def listed(self):
        """Return the names of the upstreams that may get requests."""
        views = self.directory.views_by_name.values()
        return {v.upstream.name for v in views if v.serves("push")}


def make_freshness(reactor, clocks, name):
    """Return the reads of the list by an entry that hears no others."""
    return freshness.Freshness(
        reactor=reactor,
        clock=clocks,
        name=name,
        source="list",
        reached=lambda: confirmation.Reached(0),
    )


def make_usage(reactor, clocks, *, counts=dict):
    """Return the usage of an entry that exchanges none."""
    return usage.Usage(
        reactor=reactor,
        clock=clocks,
        name="f1",
        incarnation="i1",
        address="127.0.0.1:9",
        peers=(),
        counts=counts,
        peer="127.0.0.1:8",
        offset=lambda: 0,
        roster_offset=lambda: 0,
    )


async def _nothing():
    """Return None: the peer has no list."""
    return None
