"""Runs all features and closes with a line "N passed, N failed".

A scenario that KNOWN-RED.txt names may fail without failing the run; it is
printed, and counted neither way.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
GOOD = "passed"


class Result(NamedTuple):
    """What became of one scenario."""

    name: str
    status: str


def main(arguments: list[str]) -> int:
    """Run behave; return its exit status, known red scenarios apart.

    Args:
      arguments: Feature files to run instead of all.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as out:
        files = arguments or [str(ROOT / "features")]
        # The second format has no file and goes to standard output; naming
        # that as a file would open it a second time, and write over itself.
        form = ["--format", "json", "--outfile", out.name]
        form += ["--format", "progress3"]
        command = [sys.executable, "-m", "behave", *form]
        status = subprocess.call([*command, *files], cwd=ROOT)
        results = _read(pathlib.Path(out.name))
    red = _known_red()
    known = [r for r in results if r.name in red and r.status != GOOD]
    for result in known:
        print(f"known red: {result.name}: {red[result.name]}")
    passed = [r for r in results if r.status == GOOD]
    failed = [r for r in results if r.status != GOOD and r not in known]
    for result in failed:
        print(f"failed: {result.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    if failed or not passed:
        return 1
    return 0 if known else status


def _read(path: pathlib.Path) -> list[Result]:
    """Read behave's report; one row a scenario, outlines expanded."""
    results = []
    for feature in json.loads(path.read_text() or "[]"):
        for item in feature.get("elements", ()):
            if item["type"] != "background":
                # Names of examples may end in a space.
                name = item["name"].strip()
                results.append(Result(name, item["status"]))
    return results


def _known_red() -> dict[str, str]:
    """Return the scenarios that may fail, with the rest of their line."""
    if not KNOWN_RED.exists():
        return {}
    rows = {}
    for line in KNOWN_RED.read_text().splitlines():
        name, _, rest = line.partition("|")
        if rest:
            rows[name.strip()] = rest.strip()
    return rows


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
