"""The clocks of a machine that may be suspended."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import clock


class Clocks(clock.FakeClock):
    """A machine's clocks; the time of day may be put."""

    def __init__(self, **given):
        super().__init__(start=100.0, **given)
        self.put_s = 0.0

    def wall(self):
        """Return the time of day."""
        return self.now + self.put_s
