"""Measurements: each prints a short table and returns JSON data."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
