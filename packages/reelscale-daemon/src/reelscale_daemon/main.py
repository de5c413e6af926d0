"""reelscaled: the command that starts an entry or an agent."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import logging
import os
import sys
from typing import Annotated, Any, NoReturn

import typer
from reelscale_core import clock, error, settings
from twisted.internet import defer, reactor

from . import logs

BAD_SETTINGS = 2
FAILED = 1

app = typer.Typer(
    help="The reelscale daemon.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
SettingsFile = Annotated[
    str,
    typer.Option(
        "--settings",
        envvar="REELSCALE_SETTINGS",
        help="JSON file with the settings.",
    ),
]


@app.command("entry")
def run_entry(settings_file: SettingsFile) -> None:
    """Run an entry: between callers and agents."""
    given = _settings(settings_file, "entry")
    if given.adapter:
        from . import front

        _run(front.Front(reactor=reactor, settings=given))
        return
    from . import entry

    _run(entry.Entry(reactor=reactor, settings=given))


@app.command("agent")
def run_agent(settings_file: SettingsFile) -> None:
    """Run an agent: beside one upstream."""
    given = _settings(settings_file, "agent")
    if given.adapter:
        from . import rank_agent

        _run(rank_agent.RankAgent(reactor=reactor, settings=given))
        return
    from . import agent

    _run(agent.Agent(reactor=reactor, settings=given))


@app.command("check-settings")
def check_settings(
    settings_file: SettingsFile,
    role: Annotated[str, typer.Option(help="entry or agent.")],
) -> None:
    """Check a settings file and report every fault in it."""
    _settings(settings_file, role)
    typer.echo("The settings are good.")


def run() -> None:
    """Run the command line, and end the process."""
    try:
        app()
    except SystemExit as ended:
        if isinstance(ended.code, int):
            _exit(ended.code)
        raise


def _settings(path: str, role: str) -> settings.Settings:
    """Read settings, or print every fault and exit."""
    try:
        return settings.read(path, role=role)
    except error.CodedError as bad:
        typer.echo(f"{bad.code}: {bad.detail}", err=True)
        for fault in bad.faults:
            typer.echo(f"  {fault.path}: expected {fault.expected}", err=True)
        raise typer.Exit(BAD_SETTINGS) from bad


def _run(part: Any) -> None:
    """Run the reactor until the process has stopped in order."""
    logs.start(as_json=part.settings.log_json)
    # Twisted's timers go by the time of day, which may step: one that steps
    # back would hold every timer up.  Those of callers' and leases' time
    # must also count a suspension.
    reactor.seconds = clock.SystemClock().monotonic
    failed = []

    def fail(reason: object) -> None:
        failed.append(reason)
        logs.Logger("process").error("Cannot start.", reason=reason)
        reactor.stop()

    def start() -> None:
        defer.ensureDeferred(part.start()).addErrback(fail)

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    sys.exit(FAILED if failed else 0)


def _exit(status: int) -> NoReturn:
    """End the process at once, with all its lines written.

    The teardown of the interpreter frees only what the system frees anyway,
    and on a busy machine it would outlast the grace time.
    """
    logging.shutdown()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
