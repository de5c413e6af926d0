"""Stand-in for the platform's store: a log with topics, by its pages.

POST /control sets its faults: "down" ("silent", "busy" or "reset"), "slow_s",
"lose_answers" (appends are done, their answer is lost), "drop" (history of
every topic goes), "stale" (reads answer as of the records so many ago),
"lapse" (the entries of these upstreams go, also while it is down),
"turned_away" (the share of calls that gets 429) and "restore" (the store
comes back from a copy, see Restore).  "era" is the number that all answers
name and that each restore raises; null for a store that names none.
GET /control counts calls.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import base64
import collections
import json
import struct
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from twisted.internet import reactor
from twisted.web import server

from . import web
from .groups import Groups
from .partition import Partition

RECORD = struct.Struct(">I")
ENDS = struct.Struct(">QQ")
KEYED = "keyed."
SERVERS = ("keyed.servers", 0)
OPERATOR = ("keyed.op", 0)
PAGE = 500
KEPT_ANSWERS = 5


class Restore(NamedTuple):
    """How the store comes back from a copy.

    Attributes:
      behind_s: Age of the copy in seconds; what came later is lost.
      rewrite_s: Seconds until the operator and the workers have written again
        what they lost; None if they do not.
      keeps_reads: Whether reads that wait at the store go on waiting, as if
        the store had not been away.
    """

    behind_s: float
    rewrite_s: float | None = None
    keeps_reads: bool = False


class Store:
    """The topics, the groups and the faults."""

    def __init__(self) -> None:
        self.parts: dict[tuple[str, int], Partition] = {}
        self.groups = Groups()
        self.era: int | None = 1
        self.reads: list[tuple[Any, tuple[str, int], int]] = []
        self.calls: collections.Counter[str] = collections.Counter()
        self.down = ""
        self.slow_s = 0.0
        self.lose_answers = 0
        self.stale = 0

    def handle(self, request: Any) -> Any:
        """Answer one call."""
        path = request.path.decode()
        if path == "/control":
            return self.control(request)
        self.calls[path.rsplit("/", 1)[-1]] += 1
        self.name_era(request)
        request.notifyFinish().addErrback(
            lambda _: setattr(request, "gone", True)
        )
        if self.down:
            return self.refuse(request)
        reactor.callLater(self.slow_s, self.serve, request, path)
        return server.NOT_DONE_YET

    def name_era(self, request: Any) -> None:
        """Set the header that names the era of an answer."""
        if self.era is not None:
            request.setHeader(b"store-era", str(self.era).encode())

    def refuse(self, request: Any) -> Any:
        """Be down, in the way that was set."""
        if self.down == "busy":
            web.finish(request, {}, 503)
        if self.down == "reset":
            request.transport.abortConnection()
        return server.NOT_DONE_YET

    def control(self, request: Any) -> dict[str, Any]:
        """Set faults; tell how many calls there were."""
        data = web.body(request)
        if data.pop("drop", False):
            for part in self.parts.values():
                part.drop()
        self.lapse_entries(data.pop("lapse", ()))
        if restore := data.pop("restore", None):
            self.restore(Restore(**restore))
        for name, value in data.items():
            setattr(self, name, value)
        if self.down:
            self.break_reads_off(silently=self.down == "silent")
        return {"calls": dict(self.calls)}

    def break_reads_off(self, *, silently: bool = False) -> None:
        """Forget the reads that wait, and close their connections."""
        waiting, self.reads = self.reads, []
        for request, _, _ in waiting:
            if not silently and not getattr(request, "gone", False):
                request.transport.abortConnection()

    def restore(self, how: Restore) -> None:
        """Come back from a copy, and have what was lost written again."""
        at = time.monotonic() - how.behind_s
        lost = {
            key: self.parts[key].newest_after(at)
            for key in (OPERATOR, SERVERS)
            if key in self.parts
        }
        for key, part in self.parts.items():
            has_key = key[0].startswith(KEYED)
            self.parts[key] = part.as_of(at, has_key=has_key)
        self.groups.restore(at)
        if self.era is not None:
            self.era += 1
        if not how.keeps_reads:
            self.break_reads_off()
        if how.rewrite_s is not None:
            reactor.callLater(how.rewrite_s, self.write_again, lost)

    def write_again(self, lost: dict[tuple[str, int], list[bytes]]) -> None:
        """Append what the operator and the workers had lost."""
        for key, records in lost.items():
            for record in records:
                self.parts[key].add(record, has_key=True)
            self.wake(key)

    def lapse_entries(self, names: Sequence[str]) -> None:
        """Take the entries of upstreams away, as when they were silent."""
        part = self.parts.get(SERVERS, Partition())
        for name in names:
            part.add(bytes([len(name)]) + name.encode(), has_key=True)
        if names:
            self.wake(SERVERS)

    def serve(self, request: Any, path: str) -> None:
        """Answer a call of the pages."""
        if getattr(request, "gone", False):
            return
        self.name_era(request)
        match path.removeprefix("/api/"):
            case "log-append":
                self.append(request)
            case "log-read":
                self.read(request)
            case "log-newest":
                self.newest(request)
            case "log-join":
                self.join(request)
            case "log-leave":
                self.leave(request)
            case "log-commit":
                self.commit(request)
            case "log-owners":
                self.owners(request)
            case _:
                web.finish(request, {}, 404)

    def partition(self, request: Any) -> tuple[tuple[str, int], Partition]:
        """Return the partition that a call names."""
        key = (_text(request, "topic"), int(_text(request, "part")))
        return key, self.parts.setdefault(key, Partition())

    def append(self, request: Any) -> None:
        """Append records, all or none."""
        (topic, number), part = self.partition(request)
        records = _split(request.content.read())
        at = _text(request, "at")
        if at and int(at) != part.end:
            web.finish(request, {"end": part.end}, 412)
            return
        name = _text(request, "producer")
        if name and not self.producer_holds(request, part, name, records):
            return
        offset = part.end
        for record in records:
            part.add(record, has_key=topic.startswith(KEYED))
        self.wake((topic, number))
        if self.lose_answers > 0:
            self.lose_answers -= 1
            request.transport.abortConnection()
            return
        web.finish(request, {"offset": offset, "end": part.end})

    def producer_holds(
        self, request: Any, part: Partition, name: str, records: list[bytes]
    ) -> bool:
        """Check a producer's epoch and sequence number; answer if wrong."""
        epoch, seq = int(_text(request, "epoch")), int(_text(request, "seq"))
        old_epoch, last, answers = part.producers.get(name, (-1, -1, {}))
        if epoch < old_epoch:
            web.finish(request, {"reason": "fenced"}, 409)
            return False
        if epoch > old_epoch:
            last, answers = seq - 1, {}
        if seq in answers:
            end = part.end
            web.finish(request, {"offset": answers[seq], "end": end})
            return False
        if seq != last + 1:
            web.finish(request, {"reason": "seq", "seq": last + 1}, 409)
            return False
        if records:
            answers[seq] = part.end
            answers.pop(seq - KEPT_ANSWERS, None)
            last = seq
        part.producers[name] = (epoch, last, answers)
        return True

    def read(self, request: Any) -> None:
        """Read records, or wait for the first."""
        key, part = self.partition(request)
        at = int(_text(request, "from"))
        wait_s = int(_text(request, "wait_ms") or 0) / 1000
        if at != part.end or not wait_s:
            self.give(request, part, at)
            return
        row = (request, key, at)
        self.reads.append(row)
        reactor.callLater(wait_s, self.expire, row)

    def expire(self, row: tuple[Any, tuple[str, int], int]) -> None:
        """Answer a read that has waited long enough."""
        if row in self.reads:
            self.reads.remove(row)
            self.give(row[0], self.parts[row[1]], row[2])

    def wake(self, key: tuple[str, int]) -> None:
        """Answer the reads that wait at a partition."""
        due = [row for row in self.reads if row[1] == key]
        self.reads = [row for row in self.reads if row[1] != key]
        for request, _, at in due:
            self.give(request, self.parts[key], at)

    def give(self, request: Any, part: Partition, at: int) -> None:
        """Answer a read with what there is, or was a while ago."""
        if getattr(request, "gone", False):
            return
        self.name_era(request)
        if at < part.first or at > part.end:
            web.finish(request, {"first": part.first}, 410)
            return
        end = max(part.first, part.end - self.stale)
        rows = part.between(at, end)
        request.setHeader(b"content-type", b"application/octet-stream")
        request.write(ENDS.pack(end, part.first))
        request.write(b"".join(RECORD.pack(len(r)) + r for r in rows))
        request.finish()

    def newest(self, request: Any) -> None:
        """Answer with the newest record of each key."""
        _, part = self.partition(request)
        after = _text(request, "after")
        names = sorted(name for name in part.newest if name > after)
        items = [
            {
                "key_file": name,
                "value": base64.b64encode(part.newest[name][1]).decode(),
                "offset": part.newest[name][0],
            }
            for name in names[:PAGE]
        ]
        more = len(names) > PAGE
        page = {"items": items, "more": more, "end": part.end}
        web.finish(request, page)

    def join(self, request: Any) -> None:
        """Take a member into a group, or keep it there."""
        web.finish(request, self.groups.join(web.body(request)))

    def leave(self, request: Any) -> None:
        """Let a member of a group go."""
        data = web.body(request)
        self.groups.leave(data["group"], data["member"])
        web.finish(request, {})

    def commit(self, request: Any) -> None:
        """Keep how far a member is."""
        kept = self.groups.commit(web.body(request))
        web.finish(request, {}, 200 if kept else 409)

    def owners(self, request: Any) -> None:
        """Tell the members of a group."""
        rows = self.groups.owners(_text(request, "group"))
        web.finish(request, {"parts": rows})


def keyed(key: str, value: bytes | None) -> bytes:
    """Return a record for a topic that keeps the newest of each key."""
    name = key.encode()
    return bytes([len(name)]) + name + (value or b"")


def keyed_record(key: str, data: Any) -> bytes:
    """Return a record of a topic with keys, framed for an append."""
    value = b"" if data is None else json.dumps(data).encode()
    record = keyed(key, value)
    return RECORD.pack(len(record)) + record


def _split(body: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(body):
        (size,) = RECORD.unpack_from(body, at)
        records.append(body[at + RECORD.size : at + RECORD.size + size])
        at += RECORD.size + size
    return records


def _text(request: Any, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def main() -> None:
    """Serve until killed."""
    settings = web.arguments()
    web.serve(Store().handle, settings["port"])
    reactor.run()


if __name__ == "__main__":
    main()
