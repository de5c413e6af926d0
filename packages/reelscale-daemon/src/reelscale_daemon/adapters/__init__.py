"""What meets other systems by their own protocols."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
