"""Callers whose prompts share parts, some with a part that crashes workers.

No two requests are alike: the last part of each is its own.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import itertools
import random
import time
from typing import NamedTuple

import httpx

from . import fleet

PATH = "/chat/shared"
# Part of all sound prompts, and of those that crash workers unless the part
# that crashes comes first.
FIRST = "aa01"
CRASHING = "bad0"
# One of these is the second part of each sound prompt.
SECOND = ("bb01", "bb02", "bb03")
THREADS = 64


class Sent(NamedTuple):
    """A request and what became of it.

    Attributes:
      at: Monotonic seconds at which it was sent.
      crashing: Whether it has the part that crashes workers.
      status: Status of its answer, 0 if that broke off.
      whole: Whether its stream came whole.
    """

    at: float
    crashing: bool
    status: int
    whole: bool


class Rates(NamedTuple):
    """Requests a second."""

    sound: float
    crashing: float = 0.0


class Callers:
    """Sends requests of both kinds to the entries of a fleet.

    Attributes:
      sent: All requests that have ended.
    """

    def __init__(
        self, made: fleet.Fleet, *, crashing_first: bool = False, seed: int = 1
    ) -> None:
        self.sent: list[Sent] = []
        self._fleet = made
        self._crashing_first = crashing_first
        self._random = random.Random(seed)
        self._own = itertools.count(1)
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS)

    def run(self, rates: Rates, seconds: float) -> None:
        """Send at steady rates, then wait for the answers."""
        began = time.monotonic()
        due = sorted(
            (number / rate, crashing)
            for rate, crashing in (
                (rates.sound, False),
                (rates.crashing, True),
            )
            for number in range(int(rate * seconds))
        )
        tasks = []
        for after_s, crashing in due:
            time.sleep(max(0.0, began + after_s - time.monotonic()))
            entry = self._random.choice(list(self._fleet.http))
            prefix = self._prefix(crashing)
            task = self._pool.submit(self._send, entry, prefix, crashing)
            tasks.append(task)
        self.sent += [task.result() for task in tasks]

    def _prefix(self, crashing: bool) -> str:
        own = f"{next(self._own):08x}:20"
        second = self._random.choice(SECOND)
        if not crashing:
            return f"{FIRST}:400,{second}:100,{own}"
        if self._crashing_first:
            return f"{CRASHING}:400,{second}:100,{own}"
        return f"{FIRST}:400,{CRASHING}:100,{own}"

    def _send(self, entry: str, prefix: str, crashing: bool) -> Sent:
        at = time.monotonic()
        try:
            answer = self._fleet.ask(
                PATH,
                entry=entry,
                body=prefix.encode(),
                **{"Prompt-Prefix": prefix},
            )
        except httpx.HTTPError:
            return Sent(at, crashing, 0, False)
        wanted = "".join(
            f"id: {number}\ndata: {text}\n\n"
            for number, text in enumerate(fleet.STREAM, 1)
        )
        return Sent(at, crashing, answer.status_code, answer.text == wanted)
