"""A bare relay out of the web framework's own parts, to compare with."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import sys

from twisted.internet import reactor
from twisted.web import proxy, server


def main() -> None:
    """Relay everything from one port to another until killed."""
    port, upstream = int(sys.argv[1]), int(sys.argv[2])
    root = proxy.ReverseProxyResource("127.0.0.1", upstream, b"")
    site = server.Site(root)
    site.log = lambda _request: None
    reactor.listenTCP(port, site, interface="127.0.0.1", backlog=512)
    reactor.run()


if __name__ == "__main__":
    main()
