"""The lines that parts in this process log, kept for a scenario."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import logging


class Lines(logging.Handler):
    """Keeps the lines that are logged."""

    def __init__(self):
        super().__init__()
        self.rows = []

    def emit(self, row):
        """Keep a line."""
        if row.args:
            self.rows.append(row.args[0])


def keep(context):
    """Keep the lines that are logged until the scenario ends."""
    lines = Lines()
    logger = logging.getLogger("absl")
    logger.addHandler(lines)
    context.add_cleanup(logger.removeHandler, lines)
    context.lines = lines
