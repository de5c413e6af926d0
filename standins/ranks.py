"""Stand-in for the ranks of one group, by the platform's pages.

One process serves all ranks, each at a host of its own, and steps them
together.  GET /control, at any rank, tells how many steps began, how many of
them on more than one layout, how long the group was held and the skew of the
last steps; POST sets faults: "lose" (of so many of the next orders the
answer is lost), "lose_op" (only of that kind), "late_s" (those are carried
out that much later), "restart" (a rank restarts, so the group forms anew),
"hot" (the experts wanted), "running" (requests that each rank has) and "mute"
(the numbers of ranks that answer nobody).
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import time
from typing import Any

from twisted.internet import reactor, task
from twisted.web import server

from . import web

# Seconds from one step to the next.
STEP_S = 0.02
# Sets of layers, and the experts in each.
SETS = 2
EXPERTS = 16
# Experts of a set that a rank holds at most, and may load in one change.
PLACES = 5
SPARE = 2
# Seconds for which a rank loads the weights of a layout.
LOADING_S = 0.03
# Tokens of a step for an expert that is wanted; others get a twentieth.
TOKENS = 1000
# Unix milliseconds at which a rank starts, and how much later it does again.
BORN_MS = 1_700_000_000_000
AGAIN_AFTER_MS = 700
# Requests that each rank has at first: as many as it works on at once.
SLOTS = 6


class Rank:
    """One rank and what it holds."""

    def __init__(self, *, number: int, size: int) -> None:
        self.number = number
        self.size = size
        self.fence = 0
        self.highest = 0
        self.born_ms = BORN_MS
        self.reform()

    def start_again(self) -> None:
        """Forget also what outlasts a new forming of the group."""
        self.fence = self.highest = 0
        self.born_ms += AGAIN_AFTER_MS

    def reform(self) -> None:
        """Begin with the first layout and nothing prepared."""
        dealt = tuple(range(self.number, EXPERTS, self.size))
        self.version = 0
        self.experts = [list(dealt) for _ in range(SETS)]
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.armed: dict[str, int] | None = None
        self.held: int | None = None
        self.counts = [0] * (SETS * EXPERTS)

    @property
    def copying(self) -> bool:
        """Whether it still loads what it prepares."""
        ready_at = self.prepared[2] if self.prepared else 0.0
        return time.monotonic() < ready_at

    @property
    def prepared_version(self) -> int | None:
        """Return the layout that it has loaded."""
        return self.prepared[0] if self.prepared and not self.copying else None


class Group:
    """The ranks, stepped together."""

    def __init__(self, *, size: int, name: str = "g0") -> None:
        self.name = name
        self.ranks = [Rank(number=number, size=size) for number in range(size)]
        self.epoch = 1
        self.step = 0
        self.steps = 0
        self.mixed = 0
        self.held_s = 0.0
        self.skew = 1.0
        self.lose = 0
        self.lose_op = ""
        self.late_s = 0.0
        self.hot = [0]
        self.running = SLOTS
        self.mute: list[int] = []

    def begin_step(self) -> None:
        """Begin the next step, unless a rank holds it."""
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            self.held_s += STEP_S
            return
        self.step, self.steps = step, self.steps + 1
        for rank in self.ranks:
            if rank.armed and rank.armed["step"] == step:
                rank.version, rank.experts, _ = rank.prepared
                rank.armed = rank.prepared = None
        self.mixed += len({rank.version for rank in self.ranks}) > 1
        self.choose()

    def choose(self) -> None:
        """Count what the requests of a step chose, and the skew of it."""
        loads = [0.0] * len(self.ranks)
        for number in range(SETS):
            for expert in range(EXPERTS):
                weight = TOKENS if expert in self.hot else TOKENS // 20
                place = number * EXPERTS + expert
                self.ranks[self.step % len(self.ranks)].counts[place] += weight
                owners = [r for r in self.ranks if expert in r.experts[number]]
                for rank in owners:
                    loads[rank.number] += weight / len(owners)
        self.skew = max(loads) * len(loads) / sum(loads)

    def handler(self, number: int) -> Any:
        """Return the function that answers for one rank."""
        rank = self.ranks[number]

        def handle(request: Any) -> Any:
            if number in self.mute and request.path != b"/control":
                return server.NOT_DONE_YET
            match request.path.decode():
                case "/control":
                    return self.control(request)
                case "/api/report":
                    return self.report(rank)
                case "/api/picked":
                    return self.picked(rank, request)
                case _:
                    return self.order(rank, request)

        return handle

    def control(self, request: Any) -> dict[str, Any]:
        """Set faults; tell how the group fares."""
        data = web.body(request)
        if data.pop("restart", False):
            self.epoch += 1
            self.step = 0
            for rank in self.ranks:
                rank.reform()
            self.ranks[-1].start_again()
        for name, value in data.items():
            setattr(self, name, value)
        return {
            "epoch": self.epoch,
            "steps": self.steps,
            "mixed": self.mixed,
            "held_s": self.held_s,
            "skew": self.skew,
            "held_by": [r.number for r in self.ranks if r.held is not None],
            "versions": [rank.version for rank in self.ranks],
        }

    def report(self, rank: Rank) -> dict[str, Any]:
        """Return a rank's report."""
        return {
            "group": {
                "name": self.name,
                "epoch": self.epoch,
                "rank": rank.number,
                "state": "open",
            },
            "size": rank.size,
            "in_flight": rank.copying,
            "seq": 0,
            "active": self.running,
            "queued": 0,
            "step": self.step,
            "map": rank.version,
            "prepared": rank.prepared_version,
            "armed": rank.armed,
            "held": rank.held,
            "born": rank.born_ms,
        }

    def picked(self, rank: Rank, request: Any) -> dict[str, Any]:
        """Return a rank's counters, or what it holds."""
        if b"lists" in request.args:
            held = {"version": rank.version, "experts": rank.experts}
            told = {"epoch": self.epoch, "map": held, "prepared": None}
            return {**told, "born": rank.born_ms}
        return {
            "step": self.step,
            "epoch": self.epoch,
            "counts": rank.counts,
            "born": rank.born_ms,
        }

    def order(self, rank: Rank, request: Any) -> Any:
        """Carry an order out, now or late, with an answer or without."""
        data = web.body(request)
        if self.lose > 0 and self.lose_op in ("", data["op"]):
            self.lose -= 1
            reactor.callLater(self.late_s, self.obey, rank, data)
            return server.NOT_DONE_YET
        web.finish(request, {}, self.obey(rank, data))
        return server.NOT_DONE_YET

    def obey(self, rank: Rank, data: dict[str, Any]) -> int:
        """Carry an order out; return its status."""
        if data["epoch"] != self.epoch:
            return 409
        if data["fence"] < rank.fence:
            return 412
        rank.fence = data["fence"]
        act = getattr(self, f"obey_{data['op']}", None)
        if act is None:
            return 400
        return 200 if act(rank, data) else 409

    def obey_prepare(self, rank: Rank, data: dict[str, Any]) -> bool:
        """Load a layout, if it is new and within the bounds."""
        table = [row[rank.number] for row in data["map"]]
        fit = all(
            len(new) <= PLACES and len(set(new) - set(old)) <= SPARE
            for new, old in zip(table, rank.experts, strict=True)
        )
        whole = all(
            {e for held in row for e in held} == set(range(EXPERTS))
            for row in data["map"]
        )
        late = data["version"] <= rank.highest or rank.armed is not None
        if late or not fit or not whole:
            return False
        rank.highest = data["version"]
        ready_at = time.monotonic() + LOADING_S
        rank.prepared = (data["version"], table, ready_at)
        return True

    def obey_arm(self, rank: Rank, data: dict[str, Any]) -> bool:
        """Take a prepared layout as a step begins."""
        wanted = {"version": data["version"], "step": data["step"]}
        known = rank.prepared_version == data["version"]
        free = rank.armed in (None, wanted)
        if not known or not free or data["step"] <= self.step:
            return False
        rank.armed = wanted
        return True

    def obey_disarm(self, rank: Rank, data: dict[str, Any]) -> bool:
        """Do not take what was armed."""
        if rank.armed and rank.armed["version"] == data["version"]:
            rank.armed = None
        return data["version"] != rank.version

    def obey_hold(self, rank: Rank, data: dict[str, Any]) -> bool:
        """Keep the group from beginning a step."""
        late = data["step"] <= self.step
        if late or rank.held not in (None, data["step"]):
            return False
        rank.held = data["step"]
        return True

    def obey_go(self, rank: Rank, data: dict[str, Any]) -> bool:
        """End a hold."""
        if rank.held == data["step"]:
            rank.held = None
        return True


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    group = Group(size=len(settings["hosts"]), name=settings["name"])
    for number, host in enumerate(settings["hosts"]):
        web.serve(group.handler(number), settings["port"], host)
    task.LoopingCall(group.begin_step).start(STEP_S)
    reactor.run()


if __name__ == "__main__":
    main()
