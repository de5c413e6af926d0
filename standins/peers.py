"""Stand-ins for many agents in one process: they answer heartbeats only."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_wire import link
from reelscale_wire.gen import Peer, ttypes
from twisted.internet import reactor
from zope.interface import implementer

from . import web


@implementer(Peer.Iface)
class Quiet:
    """An agent that grants slots and does nothing else."""

    def __init__(self, name: str, address: str, heat: int) -> None:
        self.name = name
        self.address = address
        self.heat = list(range(heat))

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.Pulse:
        """Answer as an agent of a quiet upstream would."""
        return ttypes.Pulse(
            name=self.name,
            incarnation="0123456789ab",
            hall="a",
            offset=beat.offset,
            grant=ttypes.Grant(upstream=self.name, slots=4, lapse_ms=2000),
            running=3,
            queued=1,
            capacity=64,
            leaving=False,
            layout=3,
            step_ms=6.0,
            model_version="v3",
            healthy=True,
            heat=self.heat,
            log_age_ms=120,
            peer=self.address,
        )

    def submit(self, request: ttypes.Submit) -> ttypes.Verdict:
        """Refuse everything."""
        return ttypes.Verdict(
            kind=ttypes.VerdictKind.REFUSED,
            code="busy",
            detail="",
            retry_after_ms=100,
            incarnation="0123456789ab",
        )


def main() -> None:
    """Serve until killed."""
    settings: dict[str, Any] = web.arguments()
    for name, address in settings["agents"].items():
        host, port = address.rsplit(":", 1)
        handler = Quiet(name, address, settings.get("heat", 0))
        reactor.listenTCP(
            int(port),
            link.Server(handler=handler, reactor=reactor),
            interface=host,
        )
    reactor.run()


if __name__ == "__main__":
    main()
