"""Numbers in texts of others."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import re

# Milliseconds of thirty years, the id of any event and the size of any body
# have fewer digits.
DIGITS = 15
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,15})?", re.ASCII)


def integer(text: str, *, digits: int = DIGITS) -> int | None:
    """Return the whole number that a text holds; None if it holds none.

    Args:
      text: Digits of ASCII, and spaces around them.
      digits: A number of more makes no sense.
    """
    text = text.strip(" ")
    if not text.isascii() or not text.isdigit() or len(text) > digits:
        return None
    return int(text)


def decimal(text: str) -> float | None:
    """Return the decimal number of zero or more that a text holds.

    None if it holds anything else, such as an exponent or a sign.
    """
    text = text.strip(" ")
    return float(text) if _DECIMAL.fullmatch(text) else None
