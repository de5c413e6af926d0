"""reelscale: states intents, confirms plans and asks how things are.

Exit codes: 0 done; 1 the entry could not be asked or failed; 2 bad input;
3 refused, as by a conflict; 4 the outcome is unknown, ask again.
"""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import enum
import json
import pathlib
import sys
import time
from typing import Annotated, Any

import typer
from reelscale_core import error, schema, settings

from . import client, show

FAILED = 1
BAD_INPUT = 2
REFUSED = 3
UNKNOWN = 4
WATCH_S = 1.0

app = typer.Typer(
    help="Operate reelscale: state an intent, get a plan, confirm it.",
    no_args_is_help=True,
)


class Output(enum.StrEnum):
    """How results are printed."""

    TEXT = "text"
    JSON = "json"


class Kind(enum.StrEnum):
    """Kinds of objects."""

    WORKSPACES = "workspaces"
    SERVICES = "services"
    GROUPS = "groups"
    UPSTREAMS = "upstreams"
    ENTRIES = "entries"


Entry = Annotated[
    str,
    typer.Option(
        envvar="REELSCALE_ENTRY", help="URL of any entry, http://ip:port."
    ),
]
Key = Annotated[
    str, typer.Option(envvar="REELSCALE_KEY", help="Operator's key.")
]
As = Annotated[Output, typer.Option("--output", "-o", help="Output form.")]


@app.command()
def plan(
    intent: Annotated[str, typer.Argument(help="JSON file, - for stdin.")],
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
) -> None:
    """Make a plan of an intent; nothing changes yet.

    Example: reelscale plan new-model.json
    """
    with _errors(output):
        data = schema.decode(_read(intent), step="plan")
        made = _client(entry, key).ask("POST", "/plans", data)
        _print(made, output, show.plan)


@app.command()
def confirm(
    plan_id: Annotated[str, typer.Argument(help="Id that plan printed.")],
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
) -> None:
    """Confirm a plan; doing so twice does no harm.

    Example: reelscale confirm 3f9a0c12be77
    """
    with _errors(output):
        path = f"/plans/{plan_id}/confirm"
        made = _client(entry, key).ask("POST", path)
        _print(made, output, show.verdict)


@app.command()
def drain(
    upstream: Annotated[str, typer.Argument(help="Name of the upstream.")],
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
) -> None:
    """Plan that an upstream finishes its work and gets no more.

    Example: reelscale drain u3, then reelscale confirm ID
    """
    with _errors(output):
        data = {"changes": [{"kind": "leave", "upstream": upstream}]}
        made = _client(entry, key).ask("POST", "/plans", data)
        _print(made, output, show.plan)


@app.command()
def status(
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
    watch: Annotated[
        bool, typer.Option("--watch", help="Repeat every second.")
    ] = False,
) -> None:
    """Show which configuration is in force at each process.

    Example: reelscale status --watch
    """
    with _errors(output):
        asked = _client(entry, key)
        while True:
            _print(asked.ask("GET", "/status"), output, show.status)
            if not watch:
                return
            time.sleep(WATCH_S)


@app.command()
def get(
    kind: Annotated[Kind, typer.Argument(help="What to list.")],
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
) -> None:
    """List configured objects.

    Example: reelscale get upstreams -o json
    """
    with _errors(output):
        rows = _client(entry, key).ask("GET", f"/objects/{kind.value}")
        _print(rows, output, show.objects)


@app.command()
def explain(
    request: Annotated[str, typer.Argument(help="Reelscale-Request-Id.")],
    entry: Entry,
    key: Key,
    output: As = Output.TEXT,
) -> None:
    """Tell which upstreams a recent request was sent to, and why.

    Example: reelscale explain e1-5d0c9a7e41b2-17
    """
    with _errors(output):
        row = _client(entry, key).ask("GET", f"/explain/{request}")
        _print(row, output, show.decision)


@app.command("check-settings")
def check_settings(
    file: Annotated[str, typer.Argument(help="Settings file.")],
    role: Annotated[str, typer.Option(help="entry or agent.")],
    output: As = Output.TEXT,
) -> None:
    """Check a settings file and report every fault in it.

    Example: reelscale check-settings e1.json --role entry
    """
    with _errors(output):
        settings.read(file, role=role)
        _print({"good": True}, output, lambda _: "The settings are good.")


def run() -> None:
    """Run the command line."""
    app()


class _errors:  # noqa: N801
    """Prints coded errors and exits with the code that fits."""

    def __init__(self, output: Output) -> None:
        self._output = output

    def __enter__(self) -> None:
        """Do nothing."""

    def __exit__(self, kind: Any, bad: Any, trace: Any) -> None:
        """Turn a coded error into an exit."""
        if not isinstance(bad, error.CodedError):
            return
        if self._output is Output.JSON:
            print(json.dumps(show.error_document(bad)), file=sys.stderr)
        else:
            print(show.error(bad), file=sys.stderr)
        raise typer.Exit(_exit_code(bad)) from bad


def _exit_code(bad: error.CodedError) -> int:
    if bad.faults or bad.code in ("bad-json", "no-settings", "no-file"):
        return BAD_INPUT
    if bad.code == "entry-unreachable":
        return FAILED
    if bad.outcome == error.OUTCOME_UNKNOWN:
        return UNKNOWN
    return REFUSED


def _client(entry: str, key: str) -> client.Client:
    return client.Client(entry=entry, key=key)


def _read(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text()
    except OSError as bad:
        raise error.CodedError(
            "no-file", step="plan", peer=path, detail=str(bad)
        ) from bad


def _print(data: Any, output: Output, text: Any) -> None:
    if output is Output.JSON:
        print(json.dumps(data, sort_keys=True))
    else:
        print(text(data))
