"""A group that steps all its streams together, under demand that shifts.

Each entry admits by its own pace alone, as it sees the pauses of its streams
and hears how much of the group is in use.  A stream is in time if none of its
pauses is too long.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import random

from reelscale_core import pace

SLOTS = 72
# Events of a stream.
LENGTH = 24
GOOD_S = 0.12
FIXED_S = 0.018
# What a full group adds to a pass, in seconds, with a good layout and until
# the layout has followed a shift.
CHEAP_S = 0.07
DEAR_S = 0.155
# Passes vary by chance by this part.
VARIES = 0.08
# Streams that the group could keep in time, in streams a second: as many as
# make passes of the good length, cheap and dear times taken together.
MORE = 1.2


class Stream:
    """One stream in progress."""

    def __init__(self, entry: int) -> None:
        self.entry = entry
        self.left = LENGTH
        self.late = False


class Group:
    """The group, the entries' paces and what became of the streams."""

    def __init__(self, *, entries: int) -> None:
        self.random = random.Random(5)
        self.paces = [pace.Pace() for _ in range(entries)]
        self.streams: list[Stream] = []
        self.ended = self.in_time = 0
        self.could = 0.0

    def play(self, seconds: float, *, dear_s: float, every_s: float) -> None:
        """Step the group through shifts of demand."""
        now = owed = 0.0
        while now < seconds:
            full_s = DEAR_S if now % every_s < dear_s else CHEAP_S
            varied = self.random.uniform(1 - VARIES, 1 + VARIES)
            used = len(self.streams) / SLOTS
            pass_s = FIXED_S + full_s * used * varied
            now += pass_s
            bears = _bears_per_s(full_s)
            self.could += bears * pass_s
            owed += bears * MORE * pass_s
            self._step(pass_s, now, used)
            while owed >= 1:
                owed -= 1
                self._arrive()

    def _step(self, pass_s: float, now: float, used: float) -> None:
        """Give each stream an event; each entry sees those of its own."""
        for stream in self.streams:
            stream.left -= 1
            stream.late = stream.late or pass_s > GOOD_S
            self.paces[stream.entry] = pace.observed(
                self.paces[stream.entry],
                pass_s,
                max_pause_s=GOOD_S,
                used=used,
                now=now,
                fixed_s=FIXED_S,
            )
        for stream in [s for s in self.streams if not s.left]:
            self.streams.remove(stream)
            self.ended += 1
            self.in_time += not stream.late

    def _arrive(self) -> None:
        """Admit a stream at some entry, if its limit allows one."""
        entry = self.random.randrange(len(self.paces))
        if len(self.streams) < SLOTS * self.paces[entry].limit:
            self.streams.append(Stream(entry))


def _bears_per_s(full_s: float) -> float:
    """Return the streams a second that passes of the good length bear."""
    part = min(1.0, (GOOD_S - FIXED_S) / full_s)
    return SLOTS * part / (LENGTH * (FIXED_S + full_s * part))
