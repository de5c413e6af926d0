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
RELEASE_INTERVAL_S = 1.0
# Larger answers are not stored for repeated keys.
MAX_STORED_BYTES = 4096


class StoredAnswer(NamedTuple):
    """The stored answer of a key."""

    head: upstreams.Head
    body: bytes


class Keys:
    """The agent's table of keys, and its queries of previous owners."""

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
        self.answers_by_key: dict[str, StoredAnswer] = {}
        self._clock = clock
        self._config = config
        self._links = links
        self._name = name
        self._timer = follower.Timer(
            reactor=reactor,
            clock=clock,
            name="once keys",
            function=self._record_released,
        )

    def start(self) -> None:
        """Start asking previous owners whether they have released keys."""
        self._timer.start(RELEASE_INTERVAL_S)

    @property
    def progress(self) -> follower.Progress:
        """Return the progress of the queries."""
        return self._timer.progress

    def stop(self) -> None:
        """Stop the queries."""
        self._timer.stop()

    async def decide(self, request: ttypes.Submit) -> idempotency.Decision:
        """Decide on a key; Run means that the key is now recorded."""
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
                    self._query(owner, request.target, key, first.offset)
                )
                for owner in first.owners
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
        """Answer a query of a later owner about a key."""
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
        """Store a short answer; release a key that was proved not to run."""
        request = stream.request
        if not request.once_key or stream.body_chunks is None:
            return
        if stream.not_run:
            self.table.release(request.once_key, request.attempt)
            return
        body = b"".join(stream.body_chunks)
        if not stream.code and len(body) <= MAX_STORED_BYTES and stream.head:
            self.answers_by_key[request.once_key] = StoredAnswer(
                stream.head, body
            )

    def _memberships(self, target: str) -> tuple[states.Membership, ...]:
        return self._config.state.members_by_target.get(target, ())

    async def _query(
        self, owner: str, target: str, key: str, offset: int
    ) -> idempotency.Reply:
        """Query a previous owner; no answer means it has not released keys."""
        unanswered = idempotency.Reply(known=False, released=False, since=0.0)
        upstream = self._config.state.upstreams_by_name.get(owner)
        if upstream is None:
            return unanswered
        request = ttypes.KeyRequest(target=target, key=key, offset=offset)
        try:
            reply = await self._links.to(upstream.agent).call(
                "key", request, timeout_s=ASK_TIMEOUT_S
            )
        except link.LinkError:
            return unanswered
        return idempotency.Reply(
            reply.known, reply.released, reply.since_ms / 1000
        )

    async def _record_released(self) -> None:
        """Ask each previous owner whether it has released its keys."""
        state = self._config.state
        self._drop_expired_answers()
        local = state.upstreams_by_name.get(self._name)
        if local is None:
            return
        rows = state.members_by_target.get(local.target, ())
        for owner in _previous_members(rows):
            offset = rows[-1].offset
            if owner == self._name or self.table.is_released(offset, owner):
                continue
            reply = await self._query(owner, local.target, "", offset)
            if reply.released:
                self.table.record_released(offset, owner, self._clock.wall())

    def _drop_expired_answers(self) -> None:
        for key in list(self.answers_by_key):
            if key not in self.table:
                del self.answers_by_key[key]


def _previous_members(rows: tuple[states.Membership, ...]) -> list[str]:
    """Return the members of all memberships before the newest one."""
    return sorted({name for row in rows[:-1] for name in row.members})
