"""Decides which waiting request goes next and which is refused at once.

Each priority class has a bounded queue ordered by start-time fair queueing
over workspaces (Goyal, Vin and Chen, 1996): a workspace that floods pushes
only its own requests back.  The cost of a decision grows with the
logarithm of the queue, not with the number of workspaces.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import heapq
import itertools
import math
from typing import Any, NamedTuple

from . import rendezvous

CLASSES = 8
# Weight of the newest interval in the estimate of the drain rate.
SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Callers are told to come back within this factor after the earliest time.
RETRY_SPREAD = 1.0


class QueuedRequest(NamedTuple):
    """A request in the queue; sorts by its tag, then by arrival.

    Attributes:
      tag: Virtual start time.
      number: Arrival number.
      id: Id of the request.
      workspace: Its workspace.
      priority: Its class, 0 the most urgent.
      deadline: Monotonic seconds by which it must have started.
      item: What the caller of this module queued.
    """

    tag: float
    number: int
    id: str
    workspace: str
    priority: int
    deadline: float
    item: Any


class Refusal(NamedTuple):
    """Why a request was not queued, or no longer is.

    Attributes:
      code: "queue-full", "deadline" or "displaced".
      retry_after_s: Seconds after which to come back.
      request: The request concerned.
    """

    code: str
    retry_after_s: float
    request: QueuedRequest


class Pace(NamedTuple):
    """How fast requests are taken while more wait.

    Attributes:
      gap_s: Smoothed seconds between two, None before the first gap.
      last: Monotonic seconds of the last, None if none waited then.
    """

    gap_s: float | None = None
    last: float | None = None

    def taken(self, now: float, *, more: bool) -> "Pace":
        """Note that one was taken, and whether more wait."""
        gap_s = self.gap_s
        if self.last is not None:
            gap = now - self.last
            old = gap if gap_s is None else gap_s
            gap_s = old + SMOOTHING * (gap - old)
        return Pace(gap_s, now if more else None)


class _Class:
    """The queue of one priority class."""

    def __init__(self) -> None:
        self.heap: list[QueuedRequest] = []
        self.live: set[int] = set()
        self.virtual = 0.0
        self.finish: dict[str, float] = {}
        self.rows_by_workspace: dict[
            str, collections.deque[QueuedRequest]
        ] = {}
        self.pace_by_workspace: dict[str, Pace] = {}
        self._greedy: list[tuple[int, str]] = []

    def tag(self, workspace: str) -> float:
        return max(self.virtual, self.finish.get(workspace, 0.0))

    def push(self, entry: QueuedRequest, cost: float) -> None:
        self.finish[entry.workspace] = entry.tag + cost
        self.live.add(entry.number)
        rows = self.rows_by_workspace.setdefault(
            entry.workspace, collections.deque()
        )
        rows.append(entry)
        heapq.heappush(self.heap, entry)
        heapq.heappush(self._greedy, (-len(rows), entry.workspace))

    def head(self) -> QueuedRequest | None:
        while self.heap and self.heap[0].number not in self.live:
            heapq.heappop(self.heap)
        if self.heap:
            return self.heap[0]
        self.finish.clear()
        self.pace_by_workspace.clear()
        self._greedy.clear()
        return None

    def serve(self, entry: QueuedRequest, now: float) -> None:
        self.virtual = max(self.virtual, entry.tag)
        self.forget(entry)
        name = entry.workspace
        pace = self.pace_by_workspace.get(name, Pace())
        self.pace_by_workspace[name] = pace.taken(
            now, more=name in self.rows_by_workspace
        )

    def waiting(self, workspace: str) -> int:
        return len(self.rows_by_workspace.get(workspace, ()))

    def forget(self, entry: QueuedRequest) -> None:
        self.live.discard(entry.number)
        rows = self.rows_by_workspace[entry.workspace]
        rows.remove(entry)
        if not rows:
            del self.rows_by_workspace[entry.workspace]

    def greediest(self) -> str:
        """Return the workspace with the most requests waiting."""
        while True:
            count, name = self._greedy[0]
            real = len(self.rows_by_workspace.get(name, ()))
            if real == -count:
                return name
            heapq.heappop(self._greedy)
            if real:
                heapq.heappush(self._greedy, (-real, name))


class Queue:
    """Requests for one target that wait for a slot at one entry."""

    def __init__(self, *, limit: int) -> None:
        """Make a queue that holds at most limit requests a class."""
        self.limit = limit
        self._classes = [_Class() for _ in range(CLASSES)]
        self._numbers = itertools.count()
        self._pace = Pace()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(len(item.live) for item in self._classes)

    def offer(
        self,
        *,
        id: str,
        workspace: str,
        weight: float,
        priority: int,
        deadline: float,
        now: float,
        item: Any,
    ) -> tuple[QueuedRequest | None, Refusal | None]:
        """Queue a request or refuse one.

        Returns:
          The queued request, or None; and a refusal, or None.  Both are
          there when the newcomer displaced one of a greedier workspace.
        """
        queue = self._classes[priority]
        entry = QueuedRequest(
            queue.tag(workspace),
            next(self._numbers),
            id,
            workspace,
            priority,
            deadline,
            item,
        )
        if now + self.wait_s(workspace, priority) > deadline:
            return None, self._refusal("deadline", entry)
        refusal = None
        if len(queue.live) >= self.limit:
            worst = self._displaced(queue, workspace)
            if worst is None:
                return None, self._refusal("queue-full", entry)
            queue.forget(worst)
            refusal = self._refusal("displaced", worst)
        queue.push(entry, 1 / weight)
        return entry, refusal

    def head(self) -> QueuedRequest | None:
        """Return the request to serve next, leaving it in the queue."""
        for queue in self._classes:
            entry = queue.head()
            if entry is not None:
                return entry
        return None

    def take(self, entry: QueuedRequest, now: float) -> None:
        """Take the head out, to be served."""
        self._classes[entry.priority].serve(entry, now)
        self._pace = self._pace.taken(now, more=len(self) > 0)

    def drop(self, entry: QueuedRequest) -> bool:
        """Take a request out, as when its caller left; False if gone."""
        queue = self._classes[entry.priority]
        if entry.number not in queue.live:
            return False
        queue.forget(entry)
        return True

    def wait_s(self, workspace: str, priority: int) -> float:
        """Estimate how long a newcomer waits, in seconds.

        What its own workspace has waiting, at the pace at which that
        workspace is served; before that pace is known, all that waits in
        its class and above, at the pace of the whole queue.
        """
        queue = self._classes[priority]
        pace = queue.pace_by_workspace.get(workspace, Pace())
        if pace.gap_s is not None:
            return pace.gap_s * (queue.waiting(workspace) + 1)
        if self._pace.gap_s is None:
            return 0.0
        classes = self._classes[: priority + 1]
        ahead = sum(len(item.live) for item in classes)
        turns = (queue.waiting(workspace) + 1) * (
            len(queue.rows_by_workspace) + 1
        )
        return self._pace.gap_s * min(ahead, turns)

    def retry_after_s(self, id: str, workspace: str, priority: int) -> float:
        """Return when to come back, spread by id so that none crowd."""
        base = max(MIN_RETRY_AFTER_S, self.wait_s(workspace, priority))
        spread = rendezvous.score(id, "retry") / 2**64
        return min(base * (1 + RETRY_SPREAD * spread), MAX_RETRY_AFTER_S)

    def _displaced(
        self, queue: _Class, workspace: str
    ) -> QueuedRequest | None:
        """Find the last request of a workspace that waits for more."""
        rows = queue.rows_by_workspace
        greedy = queue.greediest()
        if len(rows[greedy]) <= len(rows.get(workspace, ())) + 1:
            return None
        return rows[greedy][-1]

    def _refusal(self, code: str, entry: QueuedRequest) -> Refusal:
        after = self.retry_after_s(entry.id, entry.workspace, entry.priority)
        return Refusal(code, math.ceil(after), entry)
