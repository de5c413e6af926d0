"""Shared helpers for callers that read slowly, over raw sockets."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import socket

from standins import process

# Below the default of the kernel, so that most of the answers stay buffered in
# the writing process.
WINDOW_BYTES = 16384
READ_TIMEOUT_S = 30
READ_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 2
# Log line of an entry once an answer is complete.
ENDED = "A request has ended."


def connect(address):
    """Return a connected socket with a small receive buffer."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.connect((host, int(port)))
    sock.settimeout(READ_TIMEOUT_S)
    return sock


def read_all(sock):
    """Return all data until the connection is closed or reset."""
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
    """Wait until a process refuses new connections."""
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
