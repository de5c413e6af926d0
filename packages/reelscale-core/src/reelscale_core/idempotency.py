"""Idempotency keys of requests that must run at most once.

Every key has one owner: the upstream that wins the rendezvous hash over the
target's members in the folded configuration, not in any live list.  Only the
owner may run the key, and it records the key.  An owner that cannot establish
whether a key has run before refuses it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from . import rendezvous
from .state import Membership

# Upper bound of the skew between wall clocks of callers, entries and agents.
MAX_CLOCK_SKEW_S = 2.0
# Keys with older timestamps are refused.
RETENTION_S = 900.0
UUID_VERSION_WITH_TIME = 7


class Reply(NamedTuple):
    """The answer of a previous owner about a key.

    Attributes:
      known: Whether it has a record of the key.
      released: Whether it has given up ownership and will not run the key.
      since: Wall seconds from which its records are complete.
    """

    known: bool
    released: bool
    since: float


class Run(NamedTuple):
    """The key may run here."""


class Repeat(NamedTuple):
    """The key has been recorded before.

    Attributes:
      attempt: The attempt that was recorded with it.
    """

    attempt: str


class Ask(NamedTuple):
    """Previous owners must be asked first.

    Attributes:
      owners: Names of those upstreams.
      offset: Configuration offset that they must have folded.
    """

    owners: tuple[str, ...]
    offset: int


class Refuse(NamedTuple):
    """The key may not run here.

    Attributes:
      code: Code of the refusal.
      not_run: True if this request is proved not to have run; False if the
        key may have run before.
    """

    code: str
    not_run: bool


Decision = Run | Repeat | Ask | Refuse


class KeyRecord(NamedTuple):
    """An owner's record of a key.

    Attributes:
      attempt: The attempt that the key arrived with.
      at: Wall seconds at which it was recorded.
    """

    attempt: str
    at: float


def timestamp_of(key: str) -> float | None:
    """Return the wall seconds in a UUIDv7 key, or None.

    Args:
      key: The caller's key, optionally prefixed with "workspace/".
    """
    try:
        value = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if value.version != UUID_VERSION_WITH_TIME:
        return None
    return (value.int >> 80) / 1000


def owner_of(key: str, members: tuple[str, ...]) -> str | None:
    """Return the upstream that owns a key, None without members."""
    return rendezvous.choose(key, members)


class Table:
    """The keys that one agent has recorded for one target."""

    def __init__(self, *, name: str, since: float) -> None:
        """Start without records.

        Args:
          name: Name of the upstream.
          since: Wall seconds from which records are complete.
        """
        self.name = name
        self.since = since
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._released: dict[tuple[int, str], Reply] = {}

    def __len__(self) -> int:
        """Return the number of recorded keys."""
        return len(self._records)

    def __contains__(self, key: str) -> bool:
        """Return whether a key is recorded."""
        return key in self._records

    def decide(
        self,
        key: str,
        *,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Decision:
        """Decide on a key without recording it.

        Args:
          key: The key as received.
          memberships: Memberships of the target, oldest first.
          replies: Answers of previous owners to this request, by name.
          wall: Current wall seconds.
        """
        self._expire(wall)
        if key in self._records:
            return Repeat(self._records[key].attempt)
        if not memberships or self.name != owner_of(
            key, memberships[-1].members
        ):
            return Refuse("not-home", not_run=True)
        created_at = timestamp_of(key)
        refusal = self._check_timestamp(created_at, wall)
        if refusal is not None:
            return refusal
        return self._check_previous_owners(
            key, created_at, memberships, replies, wall
        )

    def start(
        self,
        key: str,
        attempt: str,
        *,
        memberships: tuple[Membership, ...],
        wall: float,
    ) -> Decision:
        """Decide on a key that arrived, and record it on Run or Ask.

        It is recorded before previous owners are asked, so that a copy of
        the request that arrives meanwhile is a repeat.
        """
        decision = self.decide(
            key, memberships=memberships, replies={}, wall=wall
        )
        if isinstance(decision, Run | Ask):
            self._records[key] = KeyRecord(attempt, wall)
        return decision

    def resolve(
        self,
        key: str,
        attempt: str,
        *,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Decision:
        """Decide on a recorded key after previous owners were asked.

        Returns:
          Run, or a refusal that removes the record.
        """
        if not self.release(key, attempt):
            return Refuse("memory-lost", not_run=True)
        decision = self.decide(
            key, memberships=memberships, replies=replies, wall=wall
        )
        if isinstance(decision, Ask):
            return Refuse("home-moving", not_run=True)
        if isinstance(decision, Run):
            self._records[key] = KeyRecord(attempt, wall)
        return decision

    def release(self, key: str, attempt: str) -> bool:
        """Remove a key proved not to have run; False if not recorded."""
        row = self._records.get(key)
        if row is None or row.attempt != attempt:
            return False
        del self._records[key]
        return True

    def answer(self, key: str, *, offset: int, asker_offset: int) -> Reply:
        """Answer a later owner that asks about a key.

        Args:
          key: The key; empty to ask about all keys that changed owners.
          offset: Offset folded at this agent.
          asker_offset: Offset of the membership that the asker is in.
        """
        released = offset >= asker_offset
        return Reply(key in self._records, released, self.since)

    def record_released(self, offset: int, owner: str, wall: float) -> None:
        """Record that a previous owner has reached an offset.

        Keys with a later timestamp than this cannot have run there.
        """
        self._released[(offset, owner)] = Reply(False, True, wall)

    def is_released(self, offset: int, owner: str) -> bool:
        """Return whether a previous owner has reached an offset."""
        return (offset, owner) in self._released

    def _check_timestamp(
        self, created_at: float | None, wall: float
    ) -> Refuse | None:
        """Refuse keys outside the time that the records cover."""
        if created_at is None:
            if wall < self.since + RETENTION_S:
                return Refuse("memory-too-young", not_run=False)
            return None
        if created_at > wall + MAX_CLOCK_SKEW_S:
            return Refuse("key-from-future", not_run=False)
        if created_at < wall - RETENTION_S + MAX_CLOCK_SKEW_S:
            return Refuse("key-expired", not_run=False)
        if created_at < self.since + MAX_CLOCK_SKEW_S:
            return Refuse("memory-lost", not_run=False)
        return None

    def _check_previous_owners(
        self,
        key: str,
        created_at: float | None,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Decision:
        """Decide by the answers of the key's previous owners."""
        offset = memberships[-1].offset
        ask = []
        for row in memberships[:-1]:
            previous = owner_of(key, row.members)
            if previous is None or previous == self.name or previous in ask:
                continue
            if self._released_before(offset, previous, created_at):
                continue
            reply = replies.get(previous)
            if reply is None:
                ask.append(previous)
                continue
            if reply.known:
                return Refuse("ran-elsewhere", not_run=False)
            if not reply.released:
                return Refuse("home-moving", not_run=True)
            if not _covers(reply, created_at, wall):
                return Refuse("memory-lost", not_run=False)
        return Ask(tuple(ask), offset) if ask else Run()

    def _released_before(
        self, offset: int, previous: str, created_at: float | None
    ) -> bool:
        reply = self._released.get((offset, previous))
        if reply is None or created_at is None:
            return False
        return created_at > reply.since + MAX_CLOCK_SKEW_S

    def _expire(self, wall: float) -> None:
        while self._records:
            oldest, row = next(iter(self._records.items()))
            if wall - row.at < RETENTION_S + 2 * MAX_CLOCK_SKEW_S:
                return
            del self._records[oldest]


def _covers(reply: Reply, created_at: float | None, wall: float) -> bool:
    """Return whether a previous owner's records cover a key."""
    if created_at is None:
        return reply.since + RETENTION_S < wall
    return reply.since + MAX_CLOCK_SKEW_S < created_at
