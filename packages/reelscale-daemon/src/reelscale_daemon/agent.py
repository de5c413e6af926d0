"""The agent: the process in the slot on each upstream box.

It is the only path to the upstream: it admits attempts, checks the fence
of orders, remembers keys of at-most-once requests, and grants its slots to
entries.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import grant, idempotency, settings
from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import defer, task
from twisted.web import resource
from zope.interface import implementer

from . import health, logs, metrics, process
from .adapters import engine as engines
from .adapters import platform
from .adapters import upstream as upstreams
from .controllers import follower, keys, layout, orders, streams

LOG = logs.Logger("agent")
LOAD_EVERY_S = 0.25
BOXES_EVERY_S = 1.0
SWEEP_EVERY_S = 1.0
# A load report older than this means that the upstream is not well.
UNWELL_S = 3.0
# What a request sent at the last moment of a grant may take to arrive.
ARRIVAL_S = 0.5


@implementer(Peer.Iface)
class Agent:
    """One agent and its parts."""

    def __init__(self, *, reactor: Any, settings: settings.Settings) -> None:
        self.settings = settings
        self._base = platform.make_base(reactor=reactor, settings=settings)
        base = self._base
        self._metrics = metrics.Metrics()
        self._upstream = upstreams.Upstream(
            reactor=reactor, url=settings.engine
        )
        self._engine = engines.Engine(upstream=self._upstream)
        self._streams = streams.Streams(
            reactor=reactor,
            clock=base.clock,
            upstream=self._upstream,
            metrics=self._metrics,
            capacity=settings.slots,
            buffer_bytes=settings.buffer_bytes,
            incarnation=base.incarnation,
        )
        self._keys = keys.Keys(
            reactor=reactor,
            clock=base.clock,
            config=base.config,
            links=base.links,
            name=settings.name,
        )
        self._streams.on_end.append(self._keys.ended)
        self._orders = orders.Orders(
            clock=base.clock,
            config=base.config,
            engine=self._engine,
            lease_s=settings.lease.total_seconds(),
        )
        self._layouts = layout.Layouts(
            reactor=reactor,
            clock=base.clock,
            config=base.config,
            platform=base.platform,
            links=base.links,
            orders=self._orders,
            engine=self._engine,
            name=settings.name,
            incarnation=base.incarnation,
            lease_s=settings.lease.total_seconds(),
        )
        self._load = engines.Load(0, 0, settings.slots)
        self._load_at = float("-inf")
        self._asking_load = False
        self._box_leaving = False
        self._role = ""
        self._beats: dict[str, tuple[float, int]] = {}
        self._timers: list[follower.Timer] = []
        base.config.listen(lambda _state: self._follow())

    async def start(self) -> None:
        """Serve peers and begin to watch the upstream."""
        base = self._base
        root = resource.Resource()
        health.add_routes(
            root,
            ready=self._not_ready,
            metrics=self._metrics,
            refresh=self._refresh,
        )
        if base.settings.test_controls:
            test = resource.Resource()
            root.putChild(b"test", test)
            cut = health.Cut(links=base.links, platform=base.platform)
            test.putChild(b"cut", cut)
        await base.listen(
            base.settings.peer, link.Server(handler=self, reactor=base.reactor)
        )
        await base.listen(base.settings.http, process.make_site(root))
        defer.ensureDeferred(base.config.run())
        self._start_timers()
        base.on_signal(self.stop)
        base.on_reload(
            lambda: self.settings, role="agent", take=self._take_settings
        )
        LOG.info("Serving.", name=base.settings.name, peer=base.settings.peer)

    def _take_settings(self, new: settings.Settings) -> None:
        """Go by new settings, but for the addresses of the start."""
        self.settings = self._base.settings = new

    async def stop(self) -> None:
        """Refuse new work, let work in progress end, then go."""
        base = self._base
        self._streams.gate.leaving = True
        # Until every grant has lapsed, entries that have not heard yet may
        # send; they get a refusal instead of a connection that breaks.
        await task.deferLater(base.reactor, grant.EXPIRY_S + ARRIVAL_S)
        while self._streams.gate.running or self._streams.unfetched():
            await task.deferLater(base.reactor, process.STOP_POLL_S)
        self._layouts.stop()
        self._keys.stop()
        for timer in self._timers:
            timer.stop()
        base.config.stop()
        await base.stop_listening()
        left = await base.close_connections(within=base.settings.grace)
        LOG.info("Stopped.", **left._asdict())

    # What peers may call, by the names of the Peer service.

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.Pulse:
        """Grant slots to an entry and tell it how things are here."""
        base = self._base
        base.config.record_peer_offset(beat.peer, beat.offset)
        now = base.clock.monotonic()
        name = base.settings.name
        if name in beat.wanted:
            self._beats[beat.name] = (now, beat.wanted[name])
        return ttypes.Pulse(
            name=name,
            incarnation=base.incarnation,
            hall=base.settings.hall,
            offset=base.config.state.offset,
            grant=self._grant(beat.name, now),
            running=len(self._streams.gate.running),
            queued=self._load.queued,
            capacity=self._streams.gate.capacity,
            leaving=self._streams.gate.leaving,
            layout=self._layouts.rank.version,
            step_ms=self._load.step_ms,
            model_version=self._load.model_version,
            healthy=now - self._load_at < UNWELL_S,
            heat=list(self._load.heat) if beat.want_heat else [],
            log_age_ms=base.config.log_age_ms(),
            peer=base.settings.peer,
        )

    def state(self, request: ttypes.StateRequest) -> defer.Deferred:
        """Give the configuration to a peer that cannot reach the log."""
        return defer.ensureDeferred(
            self._base.config.answer(request.have_offset, request.have_version)
        )

    async def _submit(self, request: ttypes.Submit) -> ttypes.Verdict:
        if request.attempt in self._streams.by_attempt:
            return self._streams.admission()
        if not self._base.config.ready:
            return self._streams.refusal("not-ready")
        answer = self._streams.decide(request)
        if not answer.admitted:
            return self._streams.refusal(answer.code)
        if answer.repeated:
            return self._streams.admission()
        if request.once_key:
            return await self._submit_once(request)
        self._streams.start(request)
        return self._streams.admission()

    async def _submit_once(self, request: ttypes.Submit) -> ttypes.Verdict:
        decision = await self._keys.decide(request)
        match decision:
            case idempotency.Run():
                self._streams.start(request)
                return self._streams.admission()
            case idempotency.Repeat():
                kept = self._keys.answers_by_key.get(request.once_key)
                if kept is None:
                    return self._not_again(request, "key-taken")
                self._streams.replay(request, kept.head, kept.body)
                return self._streams.admission()
            case idempotency.Refuse(code=code, not_run=True):
                return self._streams.refuse(request.attempt, code)
            case idempotency.Refuse(code=code):
                return self._not_again(request, code)
        raise AssertionError(decision)

    def _not_again(self, request: ttypes.Submit, code: str) -> ttypes.Verdict:
        """Refuse a key that has run or may have: the answer is unknown."""
        self._streams.refuse(request.attempt, code)
        return self._streams.refusal(code, unknown=True)

    def submit(self, request: ttypes.Submit) -> defer.Deferred:
        """Take an attempt from an entry, or refuse it."""
        return defer.ensureDeferred(self._submit(request))

    def pull(self, request: ttypes.Pull) -> defer.Deferred:
        """Give an entry the next chunks of an attempt."""
        return defer.ensureDeferred(self._streams.pull(request))

    def cancel(self, request: ttypes.Cancel) -> ttypes.Verdict:
        """Kill an attempt; refused means that it will never run."""
        return self._streams.cancel(request.attempt)

    def order(self, message: ttypes.Order) -> defer.Deferred:
        """Carry out an order of the group's holder."""
        return defer.ensureDeferred(self._orders.order(message))

    def key(self, request: ttypes.KeyRequest) -> ttypes.KeyReply:
        """Answer a later home of a key."""
        return self._keys.answer(request)

    def _grant(self, entry: str, now: float) -> ttypes.Grant:
        fresh = {
            name: wanted
            for name, (at, wanted) in self._beats.items()
            if now - at < grant.EXPIRY_S
        }
        self._beats = {name: self._beats[name] for name in fresh}
        slots = 0
        if self._streams.gate.accepts_work(now) and entry in fresh:
            capacity = self._streams.gate.capacity
            slots = grant.shares(capacity, fresh)[entry]
        return ttypes.Grant(
            upstream=self._base.settings.name,
            slots=slots,
            lapse_ms=int(grant.EXPIRY_S * 1000),
        )

    def _follow(self) -> None:
        """Take from the configuration whether to leave, and the role."""
        state = self._base.config.state
        mine = state.upstreams_by_name.get(self._base.settings.name)
        gone = mine is None or mine.leaving or mine.role != "serve"
        leaving = gone or self._box_leaving or self._base.stopping
        if leaving != self._streams.gate.leaving:
            LOG.info("The gate has changed.", leaving=leaving)
        self._streams.gate.leaving = leaving
        if mine is not None and mine.role != self._role:
            defer.ensureDeferred(self._order_role(mine.role, state.offset))

    async def _order_role(self, role: str, fence: int) -> None:
        if self._base.settings.kind != "engine":
            return
        try:
            await self._engine.role(role, fence)
            self._role = role
        except Exception as lost:
            LOG.warning("The engine did not take its role.", reason=repr(lost))

    def _start_timers(self) -> None:
        for name, every_s, function in (
            ("load", LOAD_EVERY_S, self._ask_load),
            ("boxes", BOXES_EVERY_S, self._read_boxes),
            ("sweep", SWEEP_EVERY_S, self._streams.sweep),
        ):
            timer = follower.Timer(
                reactor=self._base.reactor,
                clock=self._base.clock,
                name=name,
                function=function,
            )
            timer.start(every_s)
            self._timers.append(timer)
        self._keys.start()
        if self._base.settings.kind == "engine":
            self._layouts.start()

    def _ask_load(self) -> None:
        if not self._asking_load:
            self._asking_load = True
            defer.ensureDeferred(self._take_load())

    async def _take_load(self) -> None:
        try:
            self._load = await self._engine.load()
            self._load_at = self._base.clock.monotonic()
        except Exception as lost:
            LOG.warning("No load report.", reason=repr(lost))
        finally:
            self._asking_load = False

    async def _read_boxes(self) -> None:
        try:
            boxes = await self._base.platform.boxes()
        except Exception:
            return
        name = self._base.settings.name
        self._box_leaving = any(
            box.name == name and box.role == "upstream" and box.leaving
            for box in boxes
        )
        entries = {box.peer for box in boxes if box.role == "entry"}
        self._base.config.peers.update(entries)
        self._follow()

    def _not_ready(self) -> str:
        now = self._base.clock.monotonic()
        if not self._base.config.ready:
            return "no configuration yet"
        if reason := health.stuck(self._progress()):
            return reason
        if now - self._load_at >= UNWELL_S:
            return "no load report of the upstream"
        return "leaving" if self._streams.gate.leaving else ""

    def _progress(self) -> list[follower.Progress]:
        """Return how the loops of this process get on."""
        own = [timer.progress for timer in self._timers]
        own += [self._base.config.progress, self._keys.progress]
        return [*own, self._layouts.progress]

    def _refresh(self) -> None:
        """Set the gauges before a scrape."""
        self._base.set_gauges(self._metrics)
        self._metrics.set_progress(self._progress())
        self._metrics.running.set({}, len(self._streams.gate.running))
        self._metrics.layout.set({}, self._layouts.rank.version)
        self._metrics.keys.set({}, len(self._keys.table))
