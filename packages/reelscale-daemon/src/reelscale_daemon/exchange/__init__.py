"""HTTP/1.1 client: connections, a pool and detection of dead connections."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
