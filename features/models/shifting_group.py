"""Model of a group that steps its streams together, under shifting demand.

Each entry admits streams by its own pace, from the pauses of its streams and
the utilization of the group.  A stream is in time if no pause is too long.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random

from reelscale_core import pace

SLOTS = 72
# Events per stream.
STREAM_EVENTS = 24
MAX_PAUSE_S = 0.12
FIXED_S = 0.018
# Time that a full group adds to a pass, with a balanced layout and before the
# layout has follpending a shift.
BALANCED_S = 0.07
SKEWED_S = 0.155
# Relative random variation of passes.
JITTER = 0.08
# Offered load, as a multiple of the capacity.
OVERLOAD = 1.2


class Stream:
    """One stream in progress."""

    def __init__(self, entry: int) -> None:
        self.entry = entry
        self.remaining = STREAM_EVENTS
        self.late = False


class Group:
    """The group, the paces of the entries and counts of streams."""

    def __init__(self, *, entries: int) -> None:
        self.random = random.Random(5)
        self.paces = [pace.Pace() for _ in range(entries)]
        self.streams: list[Stream] = []
        self.ended = self.in_time = 0
        self.capacity = 0.0

    def play(self, seconds: float, *, skewed_s: float, every_s: float) -> None:
        """Run the group through shifts of demand."""
        now = pending = 0.0
        while now < seconds:
            full_s = SKEWED_S if now % every_s < skewed_s else BALANCED_S
            jitter = self.random.uniform(1 - JITTER, 1 + JITTER)
            used = len(self.streams) / SLOTS
            pass_s = FIXED_S + full_s * used * jitter
            now += pass_s
            capacity_per_s = _capacity_per_s(full_s)
            self.capacity += capacity_per_s * pass_s
            pending += capacity_per_s * OVERLOAD * pass_s
            self._step(pass_s, now, used)
            while pending >= 1:
                pending -= 1
                self._arrive()

    def _step(self, pass_s: float, now: float, used: float) -> None:
        """Send an event to each stream, observed by its entry."""
        for stream in self.streams:
            stream.remaining -= 1
            stream.late = stream.late or pass_s > MAX_PAUSE_S
            self.paces[stream.entry] = pace.observed(
                self.paces[stream.entry],
                pass_s,
                max_pause_s=MAX_PAUSE_S,
                used=used,
                now=now,
                fixed_s=FIXED_S,
            )
        for stream in [s for s in self.streams if not s.remaining]:
            self.streams.remove(stream)
            self.ended += 1
            self.in_time += not stream.late

    def _arrive(self) -> None:
        """Admit a stream at some entry, if its limit allows one."""
        entry = self.random.randrange(len(self.paces))
        if len(self.streams) < SLOTS * self.paces[entry].limit:
            self.streams.append(Stream(entry))


def _capacity_per_s(full_s: float) -> float:
    """Return the throughput at the maximum pause, in streams per second."""
    utilization = min(1.0, (MAX_PAUSE_S - FIXED_S) / full_s)
    return (
        SLOTS
        * utilization
        / (STREAM_EVENTS * (FIXED_S + full_s * utilization))
    )
