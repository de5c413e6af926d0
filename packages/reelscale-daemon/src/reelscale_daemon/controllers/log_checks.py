"""Logs what the ends and incarnations of the log tell about it."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import position
from reelscale_core import state as states

from .. import logs

LOG = logs.Logger("config")


class LogChecks:
    """Checks the log against the state that was read from it."""

    def __init__(self) -> None:
        self._short_logged = False

    def check_end(
        self, state: states.State, from_offset: int, head: int
    ) -> None:
        """Log once that the log ends below the offset read from."""
        is_short = head < from_offset
        if is_short and not self._short_logged:
            LOG.error(
                "The log ends below the offset reached; records are passed "
                "over until it has grown.",
                **position.decode(state.offset)._asdict(),
                head=position.decode(head).offset,
                version=state.version,
            )
        self._short_logged = is_short

    def check_restored(self, old: states.State, new: states.State) -> None:
        """Log that a state was read from a restored log."""
        before = position.decode(old.offset)
        now = position.decode(new.offset)
        if before.offset < 0 or now.incarnation == before.incarnation:
            return
        LOG.warning(
            "The log was restored from a copy; it was read anew, and the "
            "newest version known stays in force.",
            incarnation_before=before.incarnation,
            incarnation=now.incarnation,
            offset_before=before.offset,
            offset=now.offset,
            version=new.version,
        )
