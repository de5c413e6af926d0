"""Moves a group to its configured layout, under a lease in the log.

Any agent of the group may take the lease when its rank differs from the
configuration.  A per-group order of delays usually avoids competing claims.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from typing import Any

import orjson
from reelscale_core import (
    clock,
    error,
    lease,
    lockstep,
    model,
    record,
    rendezvous,
    schedule,
)
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer, task

from .. import logs
from ..adapters import engine as engines
from ..adapters import platform
from . import config, follower, orders

LOG = logs.Logger("layout")
POLL_INTERVAL_S = 0.2
# Delay of a claim per position in the group's order of agents, in seconds.
CLAIM_DELAY_S = 1.0
ORDER_TIMEOUT_S = 20.0
ROUND_PAUSE_S = 0.02
CLAIM_TIMEOUT_S = 3.0


class Layouts:
    """Performs layout changes of the agent's group while it has the lease."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        config: config.Config,
        platform: platform.Platform,
        links: link.Links,
        orders: orders.Orders,
        engine: engines.Engine,
        name: str,
        incarnation: str,
        lease_s: float,
    ) -> None:
        self.rank = lockstep.Rank()
        self._reactor = reactor
        self._clock = clock
        self._config = config
        self._platform = platform
        self._links = links
        self._orders = orders
        self._engine = engine
        self._name = name
        self._holder = f"{name}/{incarnation}"
        self._lease_s = lease_s
        self._held: lease.Held | None = None
        self._seq = 0
        self._noticed_at: float | None = None
        self._busy = False
        self._stopped = False
        self._timer = follower.Timer(
            reactor=reactor, clock=clock, name="layout", function=self._tick
        )

    def start(self) -> None:
        """Start to poll the local rank."""
        self._timer.start(POLL_INTERVAL_S)

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the polling."""
        return self._timer.progress

    def stop(self) -> None:
        """Stop; a lease that is held is left to expire."""
        self._stopped = True
        self._timer.stop()

    def _tick(self) -> None:
        if not self._busy:
            self._busy = True
            defer.ensureDeferred(self._run_once())

    async def _run_once(self) -> None:
        try:
            await self._check()
        except Exception as lost:
            LOG.warning("A layout check failed.", reason=repr(lost))
        finally:
            self._busy = False

    async def _check(self) -> None:
        """Poll the local rank; start a change if it is not as configured."""
        group = self._group()
        if group is None or group.layout.version == 0:
            return
        self.rank = await self._engine.rank()
        rank = self.rank
        settled = rank.version == group.layout.version
        if settled and not rank.next_version:
            self._noticed_at = None
            return
        now = self._clock.monotonic()
        if self._noticed_at is None:
            self._noticed_at = now
        members = self._members(group)
        position = rendezvous.order(group.name, members).index(self._name)
        if now < self._noticed_at + position * CLAIM_DELAY_S:
            return
        if await self._claim(group):
            await self._change(group.name)

    def _group(self) -> model.Group | None:
        local = self._config.state.upstreams_by_name.get(self._name)
        if local is None:
            return None
        return self._config.state.groups_by_name.get(local.target)

    def _members(self, group: model.Group) -> list[str]:
        upstreams = self._config.state.upstreams_by_name.values()
        return [item.name for item in upstreams if item.target == group.name]

    async def _claim(self, group: model.Group) -> bool:
        """Take or renew the group's lease; return whether it is held."""
        now = self._clock.monotonic()
        half = self._lease_s / 2
        if self._held and lease.usable(self._held, now + half):
            return True
        name = f"group/{group.name}"
        current = self._config.state.leases_by_name.get(name)
        held = self._held and current and current.offset == self._held.fence
        read_at = self._config.seen_by_lease.get(name, (0, 0.0))[1]
        if not held and not lease.claimable(current, read_at=read_at, now=now):
            return False
        return await self._append_claim(name, current.offset if current else 0)

    async def _append_claim(self, name: str, replaces: int) -> bool:
        claim = record.LeaseRecord(
            id=uuid.uuid4().hex,
            name=name,
            holder=self._holder,
            ttl_ms=int(self._lease_s * 1000),
            replaces=replaces,
        )
        asked_at = self._clock.monotonic()
        try:
            await self._platform.append([record.to_json(claim)])
        except error.CodedError:
            # The claim may be in the log nevertheless.
            pass
        while self._clock.monotonic() < asked_at + CLAIM_TIMEOUT_S:
            current = self._config.state.leases_by_name.get(name)
            if current is not None and current.offset > replaces:
                self._held = lease.held(
                    name, current, claim_id=claim.id, requested_at=asked_at
                )
                return self._held is not None
            await task.deferLater(self._reactor, ROUND_PAUSE_S)
        return False

    async def _change(self, name: str) -> None:
        """Send rounds of orders until the group uses its layout."""
        ranks: dict[str, lockstep.Rank] = {}
        logged_state = ""
        while not self._stopped:
            # One lease may cover several changes, so numbers never restart.
            self._seq += 1
            group = self._config.state.groups_by_name.get(name)
            if group is None or not await self._claim(group):
                return
            held = self._held
            members = frozenset(self._members(group))
            target = group.layout.version
            plan = schedule.plan_round(
                ranks, members, target=target, fence=held.fence, seq=self._seq
            )
            if plan.done:
                LOG.info(
                    "The group uses its configured layout.",
                    group=name,
                    layout=target,
                )
                return
            if plan.waiting != logged_state:
                logged_state = plan.waiting
                LOG.info(
                    "A layout change waits.",
                    group=name,
                    waits_for=logged_state,
                )
            ranks = await self._round(group, plan, ranks)
            await task.deferLater(self._reactor, ROUND_PAUSE_S)

    async def _round(
        self,
        group: model.Group,
        plan: schedule.Round,
        ranks: dict[str, lockstep.Rank],
    ) -> dict[str, lockstep.Rank]:
        """Send one round of orders and record the answers."""
        names = sorted(plan.orders)
        replies = await defer.gatherResults(
            [
                defer.ensureDeferred(
                    self._send(group, name, plan.orders[name])
                )
                for name in names
            ]
        )
        return schedule.merge_replies(
            ranks, dict(zip(names, replies, strict=True))
        )

    async def _send(
        self, group: model.Group, name: str, order: lockstep.Order
    ) -> lockstep.Rank | None:
        """Send one order if the lease is still held."""
        layout = ""
        if isinstance(order, lockstep.Stage):
            layout = _layout_json(group, order.version)
        message = orders.to_wire(group.name, order, layout)
        if not lease.usable(self._held, self._clock.monotonic()):
            return None
        try:
            reply = await self._deliver(name, message)
        except link.LinkError:
            return None
        if reply.rank is None:
            return None
        return orders.rank_from_wire(reply.rank)

    async def _deliver(
        self, name: str, message: ttypes.Order
    ) -> ttypes.OrderReply:
        if name == self._name:
            return await self._orders.order(message)
        upstream = self._config.state.upstreams_by_name[name]
        return await self._links.to(upstream.agent).call(
            "order", message, timeout_s=ORDER_TIMEOUT_S
        )


def _layout_json(group: model.Group, version: int) -> str:
    """Return the current or an earlier layout of the group, as JSON."""
    for layout in (group.layout, *group.earlier):
        if layout.version == version:
            return orjson.dumps(model.to_json(layout)).decode()
    raise KeyError(version)
