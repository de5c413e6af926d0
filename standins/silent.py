"""A TCP relay whose open connections can go silent while it takes new ones.

A silent connection is neither closed nor reset, and what is sent into it is
still read and acknowledged here, so that no system notices by itself: only a
time-out of the two ends does.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import contextlib
import socket
import threading

# Directions that can be silent: to the one that listens, and back from it.
THERE = "there"
BACK = "back"
BOTH = "both"
_READ_BYTES = 65536
_BACKLOG = 512


class Silence:
    """Which directions of one connection are silent.

    Attributes:
      there: Whether nothing more reaches the one that listens.
      back: Whether nothing more comes back from it.
    """

    def __init__(self) -> None:
        self.there = False
        self.back = False

    @property
    def begun(self) -> bool:
        """Whether any direction is silent."""
        return self.there or self.back


class Relay:
    """Relays connections to one address.

    Attributes:
      address: Where it listens.
      opened: Connections that it has taken.
      ended: Connections that the one who listens has ended.
    """

    def __init__(self, *, to: str) -> None:
        """Listen on a port that the system names.

        Args:
          to: "ip:port" of the one to whom connections are relayed.
        """
        host, port = to.rsplit(":", 1)
        self._to = (host, int(port))
        self._listener = socket.create_server(
            ("127.0.0.1", 0), backlog=_BACKLOG
        )
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.opened = 0
        self.ended = 0
        self._is_cut = False
        self._lock = threading.Lock()
        self._silences: dict[socket.socket, Silence] = {}
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def open(self) -> int:
        """Return how many connections are open and not silent."""
        with self._lock:
            return sum(not s.begun for s in self._silences.values())

    def go_silent(self, how: str = BOTH) -> int:
        """Silence what is open now, one way or both; return how many.

        New connections pass as before.
        """
        with self._lock:
            for silence in self._silences.values():
                silence.there = silence.there or how in (THERE, BOTH)
                silence.back = silence.back or how in (BACK, BOTH)
            return len(self._silences)

    def cut(self) -> None:
        """Silence what is open and what is opened from now on."""
        self._is_cut = True
        self.go_silent()

    def join(self) -> None:
        """Pass new connections again; what is open stays silent."""
        self._is_cut = False

    def close(self) -> None:
        """Listen no longer and end all connections."""
        _end(self._listener)
        with self._lock:
            for sock in self._silences:
                _end(sock)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._relay, args=(caller,), daemon=True
            ).start()

    def _relay(self, caller: socket.socket) -> None:
        """Relay one connection until both its directions have ended."""
        try:
            callee = socket.create_connection(self._to)
        except OSError:
            _end(caller)
            return
        for sock in (caller, callee):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        silence = Silence()
        with self._lock:
            silence.there = silence.back = self._is_cut
            self.opened += 1
            self._silences[caller] = silence
        back = threading.Thread(
            target=self._answer, args=(callee, caller, silence), daemon=True
        )
        back.start()
        _pump(caller, callee, silence, THERE)
        back.join()
        with self._lock:
            del self._silences[caller]
        caller.close()
        callee.close()

    def _answer(
        self, callee: socket.socket, caller: socket.socket, silence: Silence
    ) -> None:
        _pump(callee, caller, silence, BACK)
        self.ended += 1


def _pump(
    source: socket.socket, sink: socket.socket, silence: Silence, way: str
) -> None:
    """Pass bytes on until the source ends; a silent way drops all."""
    with contextlib.suppress(OSError):
        while data := source.recv(_READ_BYTES):
            if not getattr(silence, way):
                sink.sendall(data)
    # The other end never hears of an end that comes on a silent connection.
    if not silence.begun:
        _end(sink)


def _end(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
