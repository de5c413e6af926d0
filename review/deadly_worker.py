"""A stand-in worker that one request crashes, wherever it comes again.

It is the project's stand-in, but that a path in place of a part of prompts
tells which request is deadly: "/push/deadly".
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from standins import crashing, worker

DEADLY = b"/push/deadly"


def is_deadly(self: crashing.Crashes, channel: crashing.Channel) -> bool:
    """Tell whether a request crashes the worker."""
    return bool(self.part) and channel.request.target == DEADLY


if __name__ == "__main__":
    crashing.Crashes.is_deadly = is_deadly
    worker.main()
