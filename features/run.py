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
from concurrent import futures
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
GOOD = "passed"
# Most scenarios wait for processes more than they compute.
FILES_AT_A_TIME = 2


class Result(NamedTuple):
    """What became of one scenario."""

    name: str
    status: str


class Report(NamedTuple):
    """What behave reported of one feature file.

    Attributes:
      status: Its exit status.
      output: What it wrote to standard output and standard error.
      results: One row a scenario.
    """

    status: int
    output: str
    results: list[Result]


def main(arguments: list[str]) -> int:
    """Run behave; return the exit status, known red scenarios apart.

    Args:
      arguments: Feature files to run instead of all.
    """
    files = [pathlib.Path(name) for name in arguments]
    files = files or list((ROOT / "features").glob("*.feature"))
    # The longest first, so that none is left to run alone at the end.
    files.sort(key=lambda path: path.stat().st_size, reverse=True)
    red = _known_red()
    reports = []
    with futures.ThreadPoolExecutor(max_workers=FILES_AT_A_TIME) as pool:
        for report in pool.map(_run, files):
            print(report.output, flush=True)
            reports.append(report)
    return _summarize(reports, red)


def _run(path: pathlib.Path) -> Report:
    """Run one feature file."""
    with tempfile.NamedTemporaryFile(suffix=".json") as out:
        # The second format has no file and goes to standard output; naming
        # that as a file would open it a second time, and write over itself.
        form = ["--format", "json", "--outfile", out.name]
        form += ["--format", "progress3"]
        command = [sys.executable, "-m", "behave", *form, str(path)]
        done = subprocess.run(
            command,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            check=False,
        )
        results = _read(pathlib.Path(out.name))
    return Report(done.returncode, done.stdout, results)


def _summarize(reports: list[Report], red: dict[str, str]) -> int:
    """Print the verdict on all files; return the exit status."""
    results = [row for report in reports for row in report.results]
    known = [r for r in results if r.name in red and r.status != GOOD]
    for result in known:
        print(f"known red: {result.name}: {red[result.name]}")
    passed = [r for r in results if r.status == GOOD]
    failed = [r for r in results if r.status != GOOD and r not in known]
    for result in failed:
        print(f"failed: {result.name}")
    # A file may fail without a failed scenario, as one that cannot be read.
    broken = [
        report
        for report in reports
        if report.status and all(r.status == GOOD for r in report.results)
    ]
    print(f"{len(passed)} passed, {len(failed) + len(broken)} failed")
    return 1 if failed or broken or not passed else 0


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
