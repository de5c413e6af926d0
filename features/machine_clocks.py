"""Fake clocks of a machine that may be suspended."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from reelscale_core import clock


class Clocks(clock.FakeClock):
    """A machine's clocks with an adjustable time of day."""

    def __init__(self, **options):
        super().__init__(start=100.0, **options)
        self.offset_s = 0.0

    def wall(self):
        """Return the adjusted time of day."""
        return self.now + self.offset_s
