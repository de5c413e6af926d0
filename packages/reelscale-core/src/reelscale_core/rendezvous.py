"""Rendezvous hashing: all nodes choose the same member for a key.

A member that joins or leaves moves only its own keys.
Source: Thaler and Ravishankar, "A name-based mapping scheme for
rendezvous", 1996.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hashlib
from collections.abc import Iterable


def score(key: str, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    text = f"{key}\0{member}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def order(key: str, members: Iterable[str]) -> list[str]:
    """Return members, highest score first, then by name."""
    return sorted(members, key=lambda member: (-score(key, member), member))


def choose(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest score; None without members."""
    ranked = order(key, members)
    return ranked[0] if ranked else None


def subset(node: str, members: Iterable[str], *, size: int) -> list[str]:
    """Return at most size members that one node connects to, sorted."""
    return sorted(order(node, members)[:size])
