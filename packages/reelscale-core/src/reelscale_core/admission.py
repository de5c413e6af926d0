"""Admission queue: picks the next request and sheds excess load.

Each priority class has a bounded queue ordered by start-time fair queueing
over workspaces (Goyal, Vin and Chen, 1996), so a workspace that sends a burst
delays only its own requests.  Operations cost O(log n) in the queue length,
regardless of the number of workspaces.
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
# Weight of the newest sample in the moving average of dequeue intervals.
SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# Retry-After is jittered by up to this fraction of its base value.
RETRY_SPREAD = 1.0


class QueuedRequest(NamedTuple):
    """A queued request; orders by virtual start time, then by arrival.

    Attributes:
      tag: Virtual start time.
      number: Arrival sequence number.
      id: Request id.
      workspace: Its workspace.
      priority: Priority class; 0 is the most urgent.
      deadline: Monotonic time by which it must start, in seconds.
      item: Payload supplied by the caller.
    """

    tag: float
    number: int
    id: str
    workspace: str
    priority: int
    deadline: float
    item: Any


class Refusal(NamedTuple):
    """The rejection of a request, or its removal from the queue.

    Attributes:
      code: "queue-full", "deadline" or "displaced".
      retry_after_s: Suggested delay before a retry, in seconds.
      request: The refused request.
    """

    code: str
    retry_after_s: float
    request: QueuedRequest


class DequeueInterval(NamedTuple):
    """Moving average of the interval between dequeued requests.

    Attributes:
      interval_s: Average interval in seconds; None before the first sample.
      last: Monotonic time of the last dequeue; None if the queue was then
        empty.
    """

    interval_s: float | None = None
    last: float | None = None

    def record(self, now: float, *, more: bool) -> "DequeueInterval":
        """Record a dequeue; more: whether the queue is still non-empty."""
        interval_s = self.interval_s
        if self.last is not None:
            sample = now - self.last
            old = sample if interval_s is None else interval_s
            interval_s = old + SMOOTHING * (sample - old)
        return DequeueInterval(interval_s, now if more else None)


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
        self.interval_by_workspace: dict[str, DequeueInterval] = {}
        self._by_backlog: list[tuple[int, str]] = []

    def tag(self, workspace: str) -> float:
        return max(self.virtual, self.finish.get(workspace, 0.0))

    def push(self, request: QueuedRequest, cost: float) -> None:
        self.finish[request.workspace] = request.tag + cost
        self.live.add(request.number)
        rows = self.rows_by_workspace.setdefault(
            request.workspace, collections.deque()
        )
        rows.append(request)
        heapq.heappush(self.heap, request)
        heapq.heappush(self._by_backlog, (-len(rows), request.workspace))

    def head(self) -> QueuedRequest | None:
        while self.heap and self.heap[0].number not in self.live:
            heapq.heappop(self.heap)
        if self.heap:
            return self.heap[0]
        self.finish.clear()
        self.interval_by_workspace.clear()
        self._by_backlog.clear()
        return None

    def serve(self, request: QueuedRequest, now: float) -> None:
        self.virtual = max(self.virtual, request.tag)
        self.remove(request)
        name = request.workspace
        interval = self.interval_by_workspace.get(name, DequeueInterval())
        self.interval_by_workspace[name] = interval.record(
            now, more=name in self.rows_by_workspace
        )

    def backlog(self, workspace: str) -> int:
        return len(self.rows_by_workspace.get(workspace, ()))

    def remove(self, request: QueuedRequest) -> None:
        self.live.discard(request.number)
        rows = self.rows_by_workspace[request.workspace]
        rows.remove(request)
        if not rows:
            del self.rows_by_workspace[request.workspace]

    def longest_backlog(self) -> str:
        """Return the workspace with the most queued requests."""
        while True:
            count, name = self._by_backlog[0]
            current = len(self.rows_by_workspace.get(name, ()))
            if current == -count:
                return name
            heapq.heappop(self._by_backlog)
            if current:
                heapq.heappush(self._by_backlog, (-current, name))


class Queue:
    """Requests for one target that wait for a slot at one entry."""

    def __init__(self, *, limit: int) -> None:
        """Create a queue of at most limit requests per priority class."""
        self.limit = limit
        self._classes = [_Class() for _ in range(CLASSES)]
        self._numbers = itertools.count()
        self._interval = DequeueInterval()

    def __len__(self) -> int:
        """Return the number of queued requests."""
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
        """Enqueue a request, or refuse one if the queue is overloaded.

        Returns:
          The queued request, or None; and a refusal, or None.  Both are
          set if the new request displaced one of a workspace with a longer
          backlog.
        """
        queue = self._classes[priority]
        request = QueuedRequest(
            queue.tag(workspace),
            next(self._numbers),
            id,
            workspace,
            priority,
            deadline,
            item,
        )
        if now + self.wait_s(workspace, priority) > deadline:
            return None, self._refusal("deadline", request)
        refusal = None
        if len(queue.live) >= self.limit:
            displaced = self._displaceable(queue, workspace)
            if displaced is None:
                return None, self._refusal("queue-full", request)
            queue.remove(displaced)
            refusal = self._refusal("displaced", displaced)
        queue.push(request, 1 / weight)
        return request, refusal

    def head(self) -> QueuedRequest | None:
        """Return the next request without removing it."""
        for queue in self._classes:
            request = queue.head()
            if request is not None:
                return request
        return None

    def take(self, request: QueuedRequest, now: float) -> None:
        """Remove the head of the queue for dispatch."""
        self._classes[request.priority].serve(request, now)
        self._interval = self._interval.record(now, more=len(self) > 0)

    def drop(self, request: QueuedRequest) -> bool:
        """Remove a request, for example on disconnect; False if absent."""
        queue = self._classes[request.priority]
        if request.number not in queue.live:
            return False
        queue.remove(request)
        return True

    def wait_s(self, workspace: str, priority: int) -> float:
        """Estimate the wait of a new request, in seconds.

        Uses the backlog and dequeue interval of the workspace.  Until that
        interval is known, uses the backlog of all classes up to this priority
        and the dequeue interval of the whole queue.
        """
        queue = self._classes[priority]
        interval = queue.interval_by_workspace.get(
            workspace, DequeueInterval()
        )
        if interval.interval_s is not None:
            return interval.interval_s * (queue.backlog(workspace) + 1)
        if self._interval.interval_s is None:
            return 0.0
        classes = self._classes[: priority + 1]
        ahead = sum(len(item.live) for item in classes)
        fair_share = (queue.backlog(workspace) + 1) * (
            len(queue.rows_by_workspace) + 1
        )
        return self._interval.interval_s * min(ahead, fair_share)

    def retry_after_s(self, id: str, workspace: str, priority: int) -> float:
        """Return a Retry-After in seconds, jittered by request id."""
        base = max(MIN_RETRY_AFTER_S, self.wait_s(workspace, priority))
        spread = rendezvous.score(id, "retry") / 2**64
        return min(base * (1 + RETRY_SPREAD * spread), MAX_RETRY_AFTER_S)

    def _displaceable(
        self, queue: _Class, workspace: str
    ) -> QueuedRequest | None:
        """Return the last request of the longest backlog, if displaceable."""
        rows = queue.rows_by_workspace
        longest = queue.longest_backlog()
        if len(rows[longest]) <= len(rows.get(workspace, ())) + 1:
            return None
        return rows[longest][-1]

    def _refusal(self, code: str, request: QueuedRequest) -> Refusal:
        after = self.retry_after_s(
            request.id, request.workspace, request.priority
        )
        return Refusal(code, math.ceil(after), request)
