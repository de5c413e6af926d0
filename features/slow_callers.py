"""Callers who read slowly: what steps on them share, over bare sockets."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket

from standins import process

# Less than the kernel would take by itself, so that most of the answers
# stay in the memory of the process that writes them.
WINDOW_BYTES = 16384
# A read that lasts longer than this fails its test.
READ_TIMEOUT_S = 30
READ_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 2
# The line that an entry writes once an answer is in its hands as a whole.
ENDED = "A request has ended."


def connect(address):
    """Return a socket that takes little before its owner reads."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.connect((host, int(port)))
    sock.settimeout(READ_TIMEOUT_S)
    return sock


def read_all(sock):
    """Return all that comes until the connection ends, by whichever way."""
    data = bytearray()
    try:
        while piece := sock.recv(READ_BYTES):
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
            socket.create_connection(
                (host, int(port)), CONNECT_TIMEOUT_S
            ).close()
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        return False

    process.wait_for(refused, "connections to be refused")
