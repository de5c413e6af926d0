"""Silences entries' connections to the store, and checks what they miss.

The first entries by name, on which the others may rely, are also cut off from
the store for a while.  Each change moves a route; a prober asks every entry
for the route that the change before has dropped.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import contextlib
import json
import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import httpx

from . import fleet, silent

# Entries that others may rely on, by name.
RELIED_ON = ("f1", "f2")
# From an acknowledgement until a change is in force, in seconds.
APPLY_S = 2.0
# Ways in which they are away, and for how long, in seconds: others are in
# touch again meanwhile.
WAYS = ("kill", "stop", "freeze", "cut")
AWAY_S = (3.5, 8.0)
CHANGES_S = (0.5, 3.0)
PROBE_S = 0.15


class Probe(NamedTuple):
    """A request on a route that was dropped.

    Attributes:
      entry: The entry that it was sent to.
      at: Monotonic seconds at which it was sent.
      dropped_at: Monotonic seconds at which the drop was acknowledged.
      status: Status of its answer, 0 without one.
    """

    entry: str
    at: float
    dropped_at: float
    status: int


class Silences:
    """The relays of a fleet's entries, and the probes.

    Attributes:
      probes: All probes of routes whose drop has to be in force.
    """

    def __init__(self, made: fleet.Fleet) -> None:
        """Have each entry of a fleet reach its store through a relay.

        Args:
          made: The fleet, which is not yet started.
        """
        self.probes: list[Probe] = []
        self._fleet = made
        self._routes = list(made.config["routes"])
        self._relays = {}
        # When each move of the route was acknowledged.
        self._moved_at: list[float] = []
        for name in made.http:
            self._relays[name] = silent.Relay(to=made.store)
            self._lead(name)

    def _lead(self, name: str) -> None:
        """Lead an entry to its relay."""
        path = self._fleet.dir / f"{name}.json"
        address = f"http://{self._relays[name].address}"
        data = {**json.loads(path.read_text()), "platform": address}
        path.write_text(json.dumps(data))

    def close(self) -> None:
        """End all relays."""
        for relay in self._relays.values():
            relay.close()

    def silence(self) -> None:
        """Silence all open connections to the store."""
        for relay in self._relays.values():
            relay.go_silent()

    def cut(self, name: str, seconds: float) -> None:
        """Cut an entry off from the store for a while."""
        self._relays[name].cut()
        time.sleep(seconds)
        self._relays[name].join()

    def move_route(self) -> None:
        """Have the operator drop a route and add the next one."""
        number = len(self._moved_at)
        route = {
            **self._routes[2],
            "name": "moved",
            "prefix": _prefix(number),
            "public": True,
        }
        self._fleet.change(routes=[*self._routes, route])
        self._moved_at.append(time.monotonic())

    @contextlib.contextmanager
    def probing(self) -> Iterator[None]:
        """Ask all entries for dropped routes meanwhile."""
        stopping = threading.Event()
        probers = [
            threading.Thread(target=self._repeat, args=(name, stopping))
            for name in self._fleet.http
        ]
        for prober in probers:
            prober.start()
        try:
            yield
        finally:
            stopping.set()
            for prober in probers:
                prober.join()

    def _repeat(self, name: str, stopping: threading.Event) -> None:
        with httpx.Client(timeout=5) as client:
            while not stopping.wait(PROBE_S):
                self._probe(client, name)

    def _probe(self, client: httpx.Client, name: str) -> None:
        at = time.monotonic()
        due = [
            number
            for number, moved_at in enumerate(self._moved_at)
            if moved_at < at - APPLY_S
        ]
        if not due or not due[-1]:
            return
        path = f"{_prefix(due[-1] - 1)}x"
        url = f"http://{self._fleet.http[name]}{path}"
        try:
            headers = self._fleet.headers()
            status = client.get(url, headers=headers).status_code
        except httpx.HTTPError:
            # The entry is away, or was frozen.
            status = 0
        row = Probe(name, at, self._moved_at[due[-1]], status)
        self.probes.append(row)

    def late(self, excused: Callable[[Probe], bool]) -> list[str]:
        """Return what entries served by an older version, in words.

        Args:
          excused: Tells whether an entry was not in touch.
        """
        rows = [row for row in self.probes if row.status == httpx.codes.OK]
        late = [row for row in rows if not excused(row)]
        if not late:
            return []
        worst_s = max(row.at - row.dropped_at for row in late)
        names = sorted({row.entry for row in late})
        return [
            f"CONFIG: {len(late)} on a dropped route at {names}, sent up to "
            f"{worst_s:.1f} s after the acknowledgement"
        ]


def pause(source: random.Random, bounds: tuple[float, float]) -> None:
    """Sleep for a random time."""
    time.sleep(source.uniform(*bounds))


def _prefix(number: int) -> str:
    return f"/moved-{number}/"
