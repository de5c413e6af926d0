"""Keys of requests that must run at most once.

Every key has one home: the upstream that wins the rendezvous hash over the
target's members in the folded configuration, not in any live list.  Only
the home may run it, and the home remembers it.  Where the home cannot know
whether a key has run before, it says so and does not run it.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from . import rendezvous
from .state import Membership

# Wall clocks of callers, entries and agents differ by less than this.
SKEW_S = 2.0
# A key is remembered this long; older stamps are refused.
MEMORY_S = 900.0
UUID_VERSION_WITH_TIME = 7


class Reply(NamedTuple):
    """What an earlier home says of a key.

    Attributes:
      known: Whether it remembers the key.
      released: Whether it has moved on and will not run the key.
      since: Wall seconds from which its memory is complete.
    """

    known: bool
    released: bool
    since: float


class Run(NamedTuple):
    """The key may run, here and now."""


class Repeat(NamedTuple):
    """The key has been taken before.

    Attributes:
      attempt: The attempt that took it.
    """

    attempt: str


class Ask(NamedTuple):
    """Earlier homes must be asked first.

    Attributes:
      homes: Names of those upstreams.
      offset: Offset that they must have reached.
    """

    homes: tuple[str, ...]
    offset: int


class Refuse(NamedTuple):
    """The key may not run here.

    Attributes:
      code: Why.
      not_run: True if it is proved that this request was not run; False
        if nobody here can tell whether the key has run before.
    """

    code: str
    not_run: bool


Judgement = Run | Repeat | Ask | Refuse


class Entry(NamedTuple):
    """What a home remembers of a key.

    Attributes:
      attempt: The attempt that took it.
      at: Wall seconds at which it was taken.
    """

    attempt: str
    at: float


def stamp(key: str) -> float | None:
    """Return the wall seconds in a UUIDv7 key, or None.

    Args:
      key: The caller's key, perhaps after its workspace and a slash.
    """
    try:
        value = uuid.UUID(key.rpartition("/")[2])
    except ValueError:
        return None
    if value.version != UUID_VERSION_WITH_TIME:
        return None
    return (value.int >> 80) / 1000


def home(key: str, members: tuple[str, ...]) -> str | None:
    """Return the upstream whose agent decides on a key."""
    return rendezvous.choose(key, members)


class Table:
    """The keys that one agent remembers for one target."""

    def __init__(self, *, name: str, since: float) -> None:
        """Start with an empty memory.

        Args:
          name: Name of the upstream.
          since: Wall seconds of the start.
        """
        self.name = name
        self.since = since
        self._entries: OrderedDict[str, Entry] = OrderedDict()
        self._cleared: dict[tuple[int, str], Reply] = {}

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return len(self._entries)

    def __contains__(self, key: str) -> bool:
        """Tell whether a key is remembered."""
        return key in self._entries

    def judge(
        self,
        key: str,
        *,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Judgement:
        """Decide on a key, as a function of what is known so far.

        Args:
          key: The key as the caller gave it.
          memberships: Who served the target, oldest first.
          replies: Answers of earlier homes to this request, by name.
          wall: Wall seconds now.
        """
        self._expire(wall)
        if key in self._entries:
            return Repeat(self._entries[key].attempt)
        if not memberships or self.name != home(key, memberships[-1].members):
            return Refuse("not-home", not_run=True)
        made = stamp(key)
        refusal = self._refusal(made, wall)
        if refusal is not None:
            return refusal
        return self._earlier(key, made, memberships, replies, wall)

    def start(
        self,
        key: str,
        attempt: str,
        *,
        memberships: tuple[Membership, ...],
        wall: float,
    ) -> Judgement:
        """Judge a key that arrived; on Run or Ask it is now taken.

        It is taken before anybody is asked, so that a copy of the request
        that arrives meanwhile is a repeat.
        """
        judged = self.judge(
            key, memberships=memberships, replies={}, wall=wall
        )
        if isinstance(judged, Run | Ask):
            self._entries[key] = Entry(attempt, wall)
        return judged

    def resolve(
        self,
        key: str,
        attempt: str,
        *,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Judgement:
        """Judge a key again, once earlier homes have been asked.

        Returns:
          Run, or a refusal; then the key is taken no longer.
        """
        if not self.give_back(key, attempt):
            return Refuse("memory-lost", not_run=True)
        judged = self.judge(
            key, memberships=memberships, replies=replies, wall=wall
        )
        if isinstance(judged, Ask):
            return Refuse("home-moving", not_run=True)
        if isinstance(judged, Run):
            self._entries[key] = Entry(attempt, wall)
        return judged

    def give_back(self, key: str, attempt: str) -> bool:
        """Forget a key that is proved not to have run; False if gone."""
        entry = self._entries.get(key)
        if entry is None or entry.attempt != attempt:
            return False
        del self._entries[key]
        return True

    def answer(self, key: str, *, offset: int, asker_offset: int) -> Reply:
        """Answer a later home that asks about a key.

        Args:
          key: The key, or empty to ask about all that moved.
          offset: Offset folded here.
          asker_offset: Offset of the membership that the asker is in.
        """
        released = offset >= asker_offset
        return Reply(key in self._entries, released, self.since)

    def clear(self, offset: int, home_name: str, wall: float) -> None:
        """Note that an earlier home has moved on to an offset.

        Keys stamped later than this cannot have run there before.
        """
        self._cleared[(offset, home_name)] = Reply(False, True, wall)

    def cleared(self, offset: int, home_name: str) -> bool:
        """Tell whether an earlier home is known to have moved on."""
        return (offset, home_name) in self._cleared

    def _refusal(self, made: float | None, wall: float) -> Refuse | None:
        """Refuse keys that this memory cannot speak for."""
        if made is None:
            if wall < self.since + MEMORY_S:
                return Refuse("memory-too-young", not_run=False)
            return None
        if made > wall + SKEW_S:
            return Refuse("key-from-future", not_run=False)
        if made < wall - MEMORY_S + SKEW_S:
            return Refuse("key-expired", not_run=False)
        if made < self.since + SKEW_S:
            return Refuse("memory-lost", not_run=False)
        return None

    def _earlier(
        self,
        key: str,
        made: float | None,
        memberships: tuple[Membership, ...],
        replies: Mapping[str, Reply],
        wall: float,
    ) -> Judgement:
        """Settle what earlier homes of the key may have done."""
        offset = memberships[-1].offset
        ask = []
        for row in memberships[:-1]:
            earlier = home(key, row.members)
            if earlier is None or earlier == self.name or earlier in ask:
                continue
            if self._moved_before(offset, earlier, made):
                continue
            reply = replies.get(earlier)
            if reply is None:
                ask.append(earlier)
                continue
            if reply.known:
                return Refuse("ran-elsewhere", not_run=False)
            if not reply.released:
                return Refuse("home-moving", not_run=True)
            if not _covers(reply, made, wall):
                return Refuse("memory-lost", not_run=False)
        return Ask(tuple(ask), offset) if ask else Run()

    def _moved_before(
        self, offset: int, earlier: str, made: float | None
    ) -> bool:
        cleared = self._cleared.get((offset, earlier))
        if cleared is None or made is None:
            return False
        return made > cleared.since + SKEW_S

    def _expire(self, wall: float) -> None:
        while self._entries:
            oldest, entry = next(iter(self._entries.items()))
            if wall - entry.at < MEMORY_S + 2 * SKEW_S:
                return
            del self._entries[oldest]


def _covers(reply: Reply, made: float | None, wall: float) -> bool:
    """Tell whether an earlier home's memory speaks for a key."""
    if made is None:
        return reply.since + MEMORY_S < wall
    return reply.since + SKEW_S < made
