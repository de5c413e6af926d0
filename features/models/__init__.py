"""Models that replay generated traces against the pure decisions."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
