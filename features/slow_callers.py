"""Callers who read slowly, for steps: sockets that take little unasked."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket

from standins import process

# Less than the kernel would take by itself, so that most of the answers
# stay in the memory of the process that writes them.
WINDOW_BYTES = 16384
ENDED = "A request has ended."


def connect(address):
    """Return a socket that takes little before its owner reads."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.connect((host, int(port)))
    sock.settimeout(30)
    return sock


def read_all(sock):
    """Return all that comes until the connection ends, by whichever way."""
    data = bytearray()
    try:
        while piece := sock.recv(1 << 20):
            data += piece
    except ConnectionResetError:
        pass
    return bytes(data)


def head(method, path, host, headers):
    """Return the head of a request as bytes."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in {"Host": host, **headers}.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def wait_refused(address):
    """Wait until a process takes no new connections any more."""
    host, port = address.rsplit(":", 1)

    def refused():
        try:
            socket.create_connection((host, int(port)), 2).close()
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        return False

    process.wait_for(refused, "connections to be refused")
