"""Small stand-ins for what surrounds reelscale; no part of the product."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"
