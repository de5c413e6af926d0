"""Dumps the state for peers and snapshots."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any

from reelscale_core import state as states

from .. import slices


class StateDumps:
    """The dump of the newest state that was dumped."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._cached: tuple[states.State | None, str] = (None, "")

    async def dump(self, state: states.State) -> str:
        """Return the dump of a state, cached for the newest one."""
        if self._cached[0] is not state:
            text = await slices.run(self._reactor, states.dump_slices(state))
            self._cached = (state, text)
        return self._cached[1]
