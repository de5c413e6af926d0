"""Runs all measurements and writes docs/MEASUREMENTS.md and the JSON.

Each part prints its own short table; the page keeps those tables as they
were printed, with the seeds fixed in the sources and the machine noted.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import contextlib
import io
import json
import os
import pathlib
import platform
import sys
import time
from collections.abc import Callable
from typing import Any

from . import (
    capacity,
    front,
    overload,
    path,
    placement,
    routing,
    slopes,
    storm,
)

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
PARTS: dict[str, tuple[str, Callable[[], Any]]] = {
    "path": ("What entry and agent add, and carry", path.main),
    "front": ("What an entry with an adapter adds", front.main),
    "routing": ("Choosing an upstream", routing.main),
    "overload": ("Limits under overload", overload.main),
    "storm": ("Retries after an outage", storm.main),
    "placement": ("Step-time skew and cost of rebalancing", placement.main),
    "slopes": ("Slopes for docs/CAPACITY.md", slopes.main),
}


class Tee(io.StringIO):
    """Keeps what is printed and prints it too."""

    def write(self, text: str) -> int:
        """Take a piece of text."""
        sys.__stdout__.write(text)
        sys.__stdout__.flush()
        return super().write(text)


def main(names: list[str]) -> int:
    """Run the parts named, or all; return the exit status."""
    data: dict[str, Any] = {}
    if capacity.RESULTS.exists():
        data = json.loads(capacity.RESULTS.read_text())
    for name in names or PARTS:
        title, function = PARTS[name]
        print(f"== {title}")
        start = time.monotonic()
        out = Tee()
        with contextlib.redirect_stdout(out):
            data[name] = function()
        data.setdefault("printed", {})[name] = out.getvalue()
        print(f"   took {time.monotonic() - start:.0f} s")
    data["machine"] = _machine()
    capacity.RESULTS.write_text(json.dumps(data, indent=1, sort_keys=True))
    PAGE.write_text(_page(data))
    return 0


def _machine() -> dict[str, Any]:
    return {
        "processors": os.cpu_count(),
        "architecture": platform.machine(),
        "python": platform.python_version(),
        "date": time.strftime("%Y-%m-%d"),
    }


def _page(data: dict[str, Any]) -> str:
    machine = ", ".join(f"{k} {v}" for k, v in data["machine"].items())
    lines = [
        "# Measurements",
        "",
        "Written by `make bench`; do not edit. Seeds are fixed in the sources",
        f"under bench/. Machine of the last run: {machine}. Absolute times",
        "belong to that machine; ratios within one run are what counts.",
    ]
    for name, (title, _) in PARTS.items():
        if name in data.get("printed", {}):
            lines += ["", f"## {title}", "", f"`python -m bench.{name}`", ""]
            lines += ["```", data["printed"][name].rstrip(), "```"]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
