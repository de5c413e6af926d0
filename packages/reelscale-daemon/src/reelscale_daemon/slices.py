"""Runs long work in slices, so that streams go on between them."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import gc
import time
from typing import Any

from reelscale_core import state
from twisted.internet import task

# The loop is given back at the first end of a slice after this long.
LONGEST_S = 0.003


async def run(
    reactor: Any, slices: state.Slices[state.Result]
) -> state.Result:
    """Run slices to their end, giving way to the loop between them.

    Returns:
      What the slices return.

    Raises:
      Exception: Whatever the slices raise.
    """
    # The collector would look through all that is being made again and
    # again, for tens of milliseconds; what is made here has no cycles.
    gc.disable()
    try:
        return await _run(reactor, slices)
    finally:
        gc.freeze()
        gc.enable()


async def _run(
    reactor: Any, slices: state.Slices[state.Result]
) -> state.Result:
    while True:
        started = time.perf_counter()
        while time.perf_counter() - started < LONGEST_S:
            try:
                next(slices)
            except StopIteration as ended:
                return ended.value
        await task.deferLater(reactor, 0)
