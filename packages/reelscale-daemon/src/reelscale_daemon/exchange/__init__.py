"""Plain HTTP/1.1 from this process to others: connections and a pool."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
