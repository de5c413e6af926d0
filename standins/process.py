"""Processes of a cluster: started, killed, frozen and stopped."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import os
import pathlib
import resource
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from typing import Any

POLL_S = 0.02
ROOT = pathlib.Path(__file__).parent.parent


_HELD: list[socket.socket] = []


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that the system says is free.

    The port stays bound here until release_ports, so that nobody is given
    it meanwhile: no outgoing connection, no other program that asks for a
    port, and no second caller of this.  A listener that may reuse an
    address can still take it.
    """
    sock = socket.socket(socket.AF_INET, kind)
    _HELD.append(sock)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    if kind == socket.SOCK_DGRAM:
        _share_datagrams(sock)
    return sock.getsockname()[1]


def _share_datagrams(sock: socket.socket) -> None:
    """Let a listener take a held datagram port, and all that comes there.

    Of sockets that may reuse an address the system may give two the same
    free port, so this is set only once the port is given.  A connected
    socket takes datagrams of its peer alone; this one is its own peer and
    sends none, so all of them are the listener's.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.connect(sock.getsockname())


def release_ports() -> None:
    """Let go of all ports that were held."""
    while _HELD:
        _HELD.pop().close()


def wait_for(test: Callable[[], Any], what: str, seconds: float = 15.0) -> Any:
    """Wait until a test gives something true.

    Raises:
      TimeoutError: It did not in time; names what was waited for.
    """
    end = time.monotonic() + seconds
    while True:
        found = test()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError(f"waited {seconds} s for {what}")
        time.sleep(POLL_S)


class Process:
    """One process of the cluster."""

    def __init__(
        self,
        name: str,
        command: list[str],
        log: pathlib.Path,
        *,
        descriptors: int | None = None,
    ) -> None:
        """Lay a process out.

        Args:
          name: Its name in the cluster.
          command: The program and its arguments.
          log: File that its output is added to.
          descriptors: Descriptors that it may have, as many as usual if None.
        """
        self.name = name
        self.descriptors = descriptors
        self.command = command
        self.log = log
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it, adding to its log."""
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                self.command,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        if self.descriptors is not None:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(self.popen.pid, resource.RLIMIT_NOFILE, limits)

    def signal(self, number: int) -> None:
        """Send a signal, if it runs."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill it at once, with nothing put in order."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self) -> None:
        """Stop it in its tracks."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.signal(signal.SIGCONT)

    def stop(self, seconds: float = 20.0) -> int:
        """Ask it to stop in order; return its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(seconds)

    @property
    def running(self) -> bool:
        """Whether it runs."""
        return self.popen is not None and self.popen.poll() is None
