"""Captures the log lines of this process for a scenario."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import logging


class Lines(logging.Handler):
    """A log handler that keeps all lines."""

    def __init__(self):
        super().__init__()
        self.rows = []

    def emit(self, row):
        """Keep a line."""
        if row.args:
            self.rows.append(row.args[0])


def keep(context):
    """Capture log lines in context.lines until the scenario ends."""
    lines = Lines()
    logger = logging.getLogger("absl")
    logger.addHandler(lines)
    context.add_cleanup(logger.removeHandler, lines)
    context.lines = lines
