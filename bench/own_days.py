"""Plays this project's own days on the users' bench and prints what broke.

    python -m bench.own_days --program PROGRAM SITE... [--jobs 2]

PROGRAM is the bench's program, SITE the path of a site file; the days are
those under deploy/days.  Each run writes its entry into journal/ as always.
The exit status is 1 if a day broke a rule or was not played to its end.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import concurrent.futures
import pathlib
import re
import subprocess
import sys
from typing import Annotated, NamedTuple

import typer

DAYS = pathlib.Path(__file__).parent.parent / "deploy" / "days"
# A day takes some 45 s on a machine at rest, and more beside others.
LONGEST_S = 600
RESULT = re.compile(
    r"^\S+ +\d+/\d+ +[-\d.]+ +(?P<worth>[-\d.]+) ", re.MULTILINE
)
BROKEN = re.compile(r"^rules broken: (?P<rules>.+)$", re.MULTILINE)


class Played(NamedTuple):
    """What became of one day on one site.

    Attributes:
      site: Name of the site.
      day: Name of the day.
      worth: Its worth as the bench gives it, "" if it did not end.
      broken: The rules that it broke, "" for none.
    """

    site: str
    day: str
    worth: str
    broken: str

    @property
    def good(self) -> bool:
        """Whether the day was played and broke nothing."""
        return bool(self.worth) and not self.broken


def play(program: str, site: pathlib.Path, day: pathlib.Path) -> Played:
    """Play one day and read the bench's report."""
    command = [
        program,
        "run",
        str(site),
        str(day),
        "--why",
        f"own day {day.stem}",
    ]
    try:
        ended = subprocess.run(
            command, capture_output=True, text=True, timeout=LONGEST_S
        )
    except subprocess.TimeoutExpired:
        return Played(site.stem, day.stem, "", "not played in time")
    return parse(site.stem, day.stem, ended.stdout + ended.stderr)


def parse(site: str, day: str, report: str) -> Played:
    """Read a report."""
    result = RESULT.search(report)
    broken = BROKEN.search(report)
    return Played(
        site,
        day,
        result["worth"] if result else "",
        broken["rules"] if broken else "",
    )


def main(
    sites: list[pathlib.Path],
    program: Annotated[str, typer.Option(help="The bench's program.")],
    jobs: Annotated[int, typer.Option(help="Days played at a time.")] = 2,
) -> None:
    """Play all own days on some sites; print a table."""
    rows = [(s, d) for s in sites for d in sorted(DAYS.glob("*.toml"))]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        played = list(pool.map(lambda row: play(program, *row), rows))
    for item in played:
        worth = item.worth or "no end"
        broken = item.broken or "-"
        print(f"{item.site:28} {item.day:28} {worth:>7}  {broken}")
    bad = sum(not item.good for item in played)
    print(f"{len(played)} days, {bad} broken or not played")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    typer.run(main)
