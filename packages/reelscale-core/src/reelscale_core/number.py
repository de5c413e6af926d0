"""Parses numbers in untrusted text."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import re

# Enough for times in milliseconds, event ids and body sizes.
MAX_DIGITS = 15
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?", re.ASCII)


def integer(text: str, *, digits: int = MAX_DIGITS) -> int | None:
    """Return the non-negative integer in a text; None if it is not one.

    Args:
      text: ASCII digits, optionally surrounded by spaces.
      digits: Maximum number of digits.
    """
    text = text.strip(" ")
    if not text.isascii() or not text.isdigit() or len(text) > digits:
        return None
    return int(text)


def decimal(text: str) -> float | None:
    """Return the non-negative decimal number in a text.

    None if it is anything else, such as one with an exponent or a sign.
    """
    text = text.strip(" ")
    return float(text) if _DECIMAL.fullmatch(text) else None
