"""The daemon: entry and agent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
