"""Stand-in for a model engine: the ranks of one box of a group.

The boxes of a group run in lock-step: each tells the others by datagram
when it has done a step, and begins the next when all have.  Every running
request gets one token a step.  What layout each step ran on is kept in a
ledger.  A step lasts longer the more one rank is loaded over the mean.

POST /control sets faults: "stage_s" (slow weight store), "mute_s"
(datagrams are lost for a while).  The order gate follows the product's
lockstep module, which documents what an engine must do.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import collections
import hashlib
import json
import random
import time
from typing import Any

from reelscale_core import lockstep, model, placement
from twisted.internet import protocol, reactor
from twisted.web import server

from . import web

WORDS = (
    "alert bank card charge code driver fault fee plug site van zone".split()
)
RESEND_S = 0.02
HOLD_S = 0.002
HEAT_DECAY = 0.98
EXPERTS_PER_TOKEN = 2
# So many completions, the newest, stay in the ledger: a long run makes many.
RUNS_KEPT = 1000


def token(prompt: str, index: int) -> str:
    """Return the text of a token; the same wherever it is made."""
    digest = hashlib.blake2b(f"{prompt}/{index}".encode(), digest_size=4)
    number = int.from_bytes(digest.digest(), "big")
    return f"{WORDS[number % len(WORDS)]}{number % 97} "


def expected(prompt: str, count: int) -> str:
    """Return the whole text that a prompt must give."""
    return "".join(token(prompt, index) for index in range(count))


class Run:
    """One request in progress."""

    def __init__(self, request: Any, data: dict[str, Any]) -> None:
        self.request = request
        self.chat = request.path == b"/v1/chat/completions"
        messages = data.get("messages") or [{}]
        self.prompt = data.get("prompt") or messages[-1].get("content", "")
        self.count = int(data.get("max_tokens", 16))
        self.index = int(request.getHeader("x-resume-from") or 0)
        self.id = request.getHeader("x-request-id") or "none"
        self.model = data.get("model", "")
        self.paused = False
        self.gone = False
        self.row = {
            "prompt": self.prompt,
            "begun_at": time.monotonic(),
            "left_at": None,
        }

    def pauseProducing(self) -> None:  # noqa: N802
        """Make no tokens: the reader is slow."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Make tokens again."""
        self.paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Stop: the reader is gone."""
        self.gone = True

    def step(self) -> bool:
        """Write one token; tell whether the request is over."""
        if self.gone:
            return True
        if self.index < self.count:
            self.write(token(self.prompt, self.index))
            self.index += 1
        if self.index >= self.count:
            self.request.write(b"data: [DONE]\n\n")
            self.request.unregisterProducer()
            self.request.finish()
            return True
        return False

    def write(self, text: str) -> None:
        """Write one token as an event of the usual form."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if self.index == self.count - 1:
            choice["finish_reason"] = "length"
        if self.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        event = {"id": self.id, "model": self.model, "choices": [choice]}
        self.request.write(b"data: %b\n\n" % json.dumps(event).encode())


class Engine(protocol.DatagramProtocol):
    """The ranks of one box."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.name = settings["name"]
        self.others = {
            name: ("127.0.0.1", port)
            for name, port in settings.get("others", {}).items()
        }
        self.slots = settings.get("slots", 64)
        self.step_s = settings.get("step_s", 0.01)
        self.experts = settings.get("experts", 8)
        self.per_rank = settings.get("slots_per_rank", 4)
        self.checks_fence = settings.get("checks_fence", True)
        self.lag_s = settings.get("lag_s", 0.1)
        self.stage_s = 0.0
        self.mute_s = 0.0
        self.rank = lockstep.Rank(incarnation=f"{random.getrandbits(48):x}")
        self.layouts: dict[int, model.Layout] = {}
        self.running: dict[Run, None] = {}
        self.queue: collections.deque[Run] = collections.deque()
        self.runs: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=RUNS_KEPT
        )
        self.done = -1
        self.done_by_name = dict.fromkeys(self.others, -1)
        self.counts_by_name: dict[str, list[int]] = {}
        self.ledger: list[tuple[int, int]] = []
        self.skews: collections.deque = collections.deque(maxlen=100)
        self.heat = [0.0] * self.experts
        self.role = "serve"
        self.role_fence = 0
        self.orders: list[dict[str, Any]] = []
        self.report: dict[str, Any] = {}
        self.counts = [0] * self.experts
        self.busy = False

    def startProtocol(self) -> None:  # noqa: N802
        """Begin to step, tell others and report load."""
        self.tell()
        self.make_report()
        self.try_step()

    # Lock-step.

    def tell(self) -> None:
        """Tell the others which step is done here, again and again."""
        message = json.dumps([self.name, self.done, self.counts]).encode()
        if self.mute_s <= 0:
            for address in self.others.values():
                self.transport.write(message, address)
        else:
            self.mute_s -= RESEND_S
        self.telling = reactor.callLater(RESEND_S, self.tell)

    def tell_now(self) -> None:
        """Tell the others at once."""
        if self.telling.active():
            self.telling.cancel()
        self.tell()

    def datagramReceived(self, data: bytes, _: Any) -> None:  # noqa: N802
        """Hear which step another box has done."""
        name, done, counts = json.loads(data)
        if name in self.done_by_name:
            self.done_by_name[name] = done
            self.counts_by_name[name] = counts
            self.try_step()

    def try_step(self) -> None:
        """Begin the next step if all ranks are there and may."""
        if self.busy or self.rank.version == 0:
            return
        step = self.rank.step + 1
        if any(done < step - 1 for done in self.done_by_name.values()):
            return
        version = lockstep.layout_at(self.rank, step)
        if version == 0:
            reactor.callLater(HOLD_S, self.try_step)
            return
        self.rank = lockstep.advance(self.rank, step)
        self.ledger.append((step, version))
        self.busy = True
        reactor.callLater(self.step_s * self.stretch(version), self.end_step)

    def stretch(self, version: int) -> float:
        """Return how much longer the most loaded rank makes a step."""
        layout = self.layouts.get(version)
        total = list(self.counts)
        for counts in self.counts_by_name.values():
            total = [a + b for a, b in zip(total, counts, strict=True)]
        if layout is None or not sum(total):
            return 1.0
        skew = placement.skew(
            placement.Layer(
                layout.experts_by_slot[0], tuple(total), self.per_rank
            )
        )
        self.skews.append(skew)
        return (1 + skew) / 2

    def end_step(self) -> None:
        """Give every running request a token and say that it is done."""
        self.busy = False
        self.done = self.rank.step
        self.counts = [0] * self.experts
        for run in list(self.running):
            if run.paused and not run.gone:
                continue
            self.count(run)
            if run.step():
                del self.running[run]
        while self.queue and len(self.running) < self.slots:
            self.running[self.queue.popleft()] = None
        self.heat = [heat * HEAT_DECAY for heat in self.heat]
        self.heat = [
            a + b for a, b in zip(self.heat, self.counts, strict=True)
        ]
        self.tell_now()
        self.try_step()

    def count(self, run: Run) -> None:
        """Count the experts that a token goes to."""
        if run.prompt.startswith("hot:"):
            first = int(run.prompt.split(":")[1])
            chosen = [first + i for i in range(EXPERTS_PER_TOKEN)]
        else:
            chosen = random.sample(range(self.experts), EXPERTS_PER_TOKEN)
        for expert in chosen:
            self.counts[expert % self.experts] += 1

    # HTTP.

    def handle(self, request: Any) -> Any:
        """Answer one request."""
        match request.path:
            case b"/v1/completions" | b"/v1/chat/completions":
                return self.complete(request)
            case b"/load":
                return self.report
            case b"/rank":
                return self.rank_data()
            case b"/orders":
                return self.order(request)
            case b"/ledger":
                return {
                    "steps": self.ledger,
                    "orders": self.orders,
                    "runs": list(self.runs),
                }
            case b"/skew":
                rows = list(self.skews)
                return {"mean": sum(rows) / len(rows) if rows else None}
            case b"/control":
                for name, value in web.body(request).items():
                    setattr(self, name, value)
                return {}
        return web.reply(request, {"error": "no such path"}, 404)

    def complete(self, request: Any) -> Any:
        """Start a completion."""
        run = Run(request, web.body(request))
        self.runs.append(run.row)
        request.notifyFinish().addErrback(lambda _: self.leave(run))
        request.setHeader(b"content-type", b"text/event-stream")
        request.registerProducer(run, True)
        if len(self.running) < self.slots:
            self.running[run] = None
        else:
            self.queue.append(run)
        return server.NOT_DONE_YET

    def leave(self, run: Run) -> None:
        """Forget a request whose reader is gone."""
        run.gone = True
        run.row["left_at"] = time.monotonic()
        if run in self.queue:
            self.queue.remove(run)

    def make_report(self) -> None:
        """Report load; between reports it is old."""
        layout = self.layouts.get(self.rank.version)
        self.report = {
            "running": len(self.running),
            "queued": len(self.queue),
            "capacity": self.slots,
            "step_ms": self.step_s * 1000,
            "model_version": layout.model_version if layout else "",
            "heat": [int(heat) for heat in self.heat],
        }
        reactor.callLater(self.lag_s, self.make_report)

    def order(self, request: Any) -> Any:
        """Take an order; a slow weight store delays staging."""
        data = web.body(request)
        self.orders.append({k: v for k, v in data.items() if k != "layout"})
        if data["kind"] == "role":
            if data["fence"] >= self.role_fence:
                self.role, self.role_fence = data["role"], data["fence"]
            return {}
        if data["kind"] == "stage" and self.stage_s:
            reactor.callLater(
                self.stage_s,
                lambda: web.finish(request, self.obey(data)),
            )
            return server.NOT_DONE_YET
        return self.obey(data)

    def obey(self, data: dict[str, Any]) -> dict[str, Any]:
        """Carry a layout order out."""
        kind = data.pop("kind")
        layout = data.pop("layout", None)
        order = getattr(lockstep, kind.capitalize())(**data)
        if not self.checks_fence:
            order = order._replace(fence=max(order.fence, self.rank.fence))
        self.rank, accepted = lockstep.apply_order(self.rank, order)
        if accepted and layout is not None:
            self.layouts[order.version] = model.layout(layout)
        if accepted and kind == "adopt" and not self.busy:
            self.done = max(self.done, self.rank.step)
        self.try_step()
        return {"accepted": accepted, "rank": self.rank_data()}

    def rank_data(self) -> dict[str, Any]:
        """Return what the ranks hold as JSON data."""
        data = self.rank._asdict()
        data["staged"] = sorted(self.rank.staged)
        return data


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    engine = Engine(settings)
    # Whoever started this holds the port until then, so it is shared.
    reactor.listenMulticast(
        settings["udp"], engine, interface="127.0.0.1", listenMultiple=True
    )
    web.serve(engine.handle, settings["port"])
    reactor.run()


if __name__ == "__main__":
    main()
