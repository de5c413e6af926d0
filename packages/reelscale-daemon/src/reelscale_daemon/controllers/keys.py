"""Decides on keys of at-most-once requests at one agent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from reelscale_core import clock, idempotency
from reelscale_core import state as states
from reelscale_wire import link
from reelscale_wire.gen import ttypes
from twisted.internet import defer

from .. import logs
from ..adapters import upstream as upstreams
from . import config, follower, streams

LOG = logs.Logger("keys")
ASK_TIMEOUT_S = 1.0
CLEAR_EVERY_S = 1.0
# Answers up to this size are kept, and given again for a repeated key.
KEPT_ANSWER_BYTES = 4096


class Kept(NamedTuple):
    """The answer that a key got."""

    head: upstreams.Head
    body: bytes


class Keys:
    """The agent's memory of keys, and its talks with earlier homes."""

    def __init__(
        self,
        *,
        reactor: Any,
        clock: clock.Clock,
        config: config.Config,
        links: link.Links,
        name: str,
    ) -> None:
        self.table = idempotency.Table(name=name, since=clock.wall())
        self.kept_by_key: dict[str, Kept] = {}
        self._clock = clock
        self._config = config
        self._links = links
        self._name = name
        self._timer = follower.Timer(
            reactor=reactor,
            clock=clock,
            name="once keys",
            function=self._clear_moved,
        )

    def start(self) -> None:
        """Begin to ask earlier homes whether they have moved on."""
        self._timer.start(CLEAR_EVERY_S)

    @property
    def progress(self) -> follower.Progress:
        """Return how the asking gets on."""
        return self._timer.progress

    def stop(self) -> None:
        """Ask no longer."""
        self._timer.stop()

    async def decide(self, request: ttypes.Submit) -> idempotency.Decision:
        """Decide on a key; Run means that it is now remembered."""
        key, attempt = request.once_key, request.attempt
        first = self.table.start(
            key,
            attempt,
            memberships=self._memberships(request.target),
            wall=self._clock.wall(),
        )
        if not isinstance(first, idempotency.Ask):
            return first
        replies = await defer.gatherResults(
            [
                defer.ensureDeferred(
                    self._ask(home, request.target, key, first.offset)
                )
                for home in first.owners
            ]
        )
        return self.table.resolve(
            key,
            attempt,
            memberships=self._memberships(request.target),
            replies=dict(zip(first.owners, replies, strict=True)),
            wall=self._clock.wall(),
        )

    def answer(self, request: ttypes.KeyRequest) -> ttypes.KeyReply:
        """Answer a later home that asks about a key."""
        reply = self.table.answer(
            request.key,
            offset=self._config.state.offset,
            asker_offset=request.offset,
        )
        return ttypes.KeyReply(
            known=reply.known,
            released=reply.released,
            since_ms=int(reply.since * 1000),
        )

    def ended(self, stream: streams.Stream) -> None:
        """Keep a short answer; forget a key that was proved not to run."""
        request = stream.request
        if not request.once_key or stream.kept is None:
            return
        if stream.not_run:
            self.table.release(request.once_key, request.attempt)
            return
        body = b"".join(stream.kept)
        if not stream.code and len(body) <= KEPT_ANSWER_BYTES and stream.head:
            self.kept_by_key[request.once_key] = Kept(stream.head, body)

    def _memberships(self, target: str) -> tuple[states.Membership, ...]:
        return self._config.state.members_by_target.get(target, ())

    async def _ask(
        self, home: str, target: str, key: str, offset: int
    ) -> idempotency.Reply:
        """Ask an earlier home; silence means that it has not moved on."""
        silent = idempotency.Reply(known=False, released=False, since=0.0)
        upstream = self._config.state.upstreams_by_name.get(home)
        if upstream is None:
            return silent
        request = ttypes.KeyRequest(target=target, key=key, offset=offset)
        try:
            got = await self._links.to(upstream.agent).call(
                "key", request, timeout_s=ASK_TIMEOUT_S
            )
        except link.LinkError:
            return silent
        return idempotency.Reply(got.known, got.released, got.since_ms / 1000)

    async def _clear_moved(self) -> None:
        """Ask earlier homes once each whether they have moved on."""
        state = self._config.state
        self._forget_answers()
        mine = state.upstreams_by_name.get(self._name)
        if mine is None:
            return
        rows = state.members_by_target.get(mine.target, ())
        for home in _earlier(rows):
            offset = rows[-1].offset
            if home == self._name or self.table.is_released(offset, home):
                continue
            reply = await self._ask(home, mine.target, "", offset)
            if reply.released:
                self.table.record_released(offset, home, self._clock.wall())

    def _forget_answers(self) -> None:
        for key in list(self.kept_by_key):
            if key not in self.table:
                del self.kept_by_key[key]


def _earlier(rows: tuple[states.Membership, ...]) -> list[str]:
    """Return everyone who was a member before the newest membership."""
    return sorted({name for row in rows[:-1] for name in row.members})
