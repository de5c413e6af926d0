"""Pure decisions of reelscale: no socket, no reactor, no wall clock."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
