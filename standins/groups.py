"""Groups of the stand-in store, whose members share partitions out."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import copy
import math
import time
from typing import Any

from twisted.internet import reactor

PARTITIONS = 24
# Members of a restored group are taken out unless they renew in this time.
RENEW_S = 1.5


class Groups:
    """All groups, which remember how they were earlier.

    Attributes:
      members_by_group: Members, and when each is taken out unless it renews.
      generations: How often each group has changed.
      committed: Offsets by group, topic and partition.
    """

    def __init__(self) -> None:
        self.members_by_group: dict[str, dict[str, float]] = {}
        self.generations: dict[str, int] = {}
        self.committed: dict[tuple[str, str, int], int] = {}
        self._copies: list[tuple[float, tuple[dict, dict, dict]]] = []

    def join(self, data: dict[str, Any]) -> dict[str, Any]:
        """Take a member in, and deal the partitions out evenly."""
        group, member = data["group"], data["member"]
        members = self.members_by_group.setdefault(group, {})
        if member not in members:
            self._count_change(group)
        later_s = data["ttl_ms"] / 1000
        members[member] = time.monotonic() + later_s
        reactor.callLater(later_s, self._lapse, group, member)
        self._copy()
        mine = sorted(members).index(member)
        parts = [
            [topic, number, self.committed.get((group, topic, 0), 0)]
            for topic in data["topics"]
            for number in range(PARTITIONS)
            if number % len(members) == mine
        ]
        generation = self.generations.get(group, 0)
        ttl_ms = data["ttl_ms"]
        return {"generation": generation, "parts": parts, "ttl_ms": ttl_ms}

    def leave(self, group: str, member: str) -> None:
        """Let a member go."""
        if self.members_by_group.get(group, {}).pop(member, None):
            self._count_change(group)
            self._copy()

    def commit(self, data: dict[str, Any]) -> bool:
        """Keep how far a member is; return whether it may say so."""
        group = data["group"]
        held = data["member"] in self.members_by_group.get(group, {})
        if not held or data["generation"] != self.generations.get(group, 0):
            return False
        self.committed[group, data["topic"], data["part"]] = data["offset"]
        return True

    def owners(self, group: str) -> list[list[Any]]:
        """Return a row for each member of a group."""
        members = self.members_by_group.get(group, {})
        return [["", 0, name, 0] for name in members]

    def restore(self, at: float) -> None:
        """Take the groups of a time back; their members have to renew."""
        found: tuple[dict, dict, dict] = ({}, {}, {})
        for when, kept in self._copies:
            if when <= at:
                found = kept
        state = copy.deepcopy(found)
        self.members_by_group, self.generations, self.committed = state
        for group, members in self.members_by_group.items():
            for name in members:
                members[name] = time.monotonic() + RENEW_S
                reactor.callLater(RENEW_S, self._lapse, group, name)

    def _lapse(self, group: str, member: str) -> None:
        """Take a member out that has been silent for its time."""
        members = self.members_by_group.get(group, {})
        if members.get(member, math.inf) <= time.monotonic():
            del members[member]
            self._count_change(group)
            self._copy()

    def _count_change(self, group: str) -> None:
        self.generations[group] = self.generations.get(group, 0) + 1

    def _copy(self) -> None:
        """Keep the groups as they are now, for a later restore."""
        state = (self.members_by_group, self.generations, self.committed)
        self._copies.append((time.monotonic(), copy.deepcopy(state)))
