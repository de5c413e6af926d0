"""Results and errors as text for people."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import sys
from typing import Any

from reelscale_core import error as errors

RED = "\033[31m"
GREEN = "\033[32m"
YELLOW = "\033[33m"
PLAIN = "\033[0m"
COLOUR_BY_SIGN = {"+": GREEN, "-": RED, "~": YELLOW}
NEXT_STEP_BY_CODE = {
    "conflict": "make a new plan on the state as it is now",
    "unknown-plan": "make the plan again, or wait for this entry to catch up",
    "log-down": "ask again with the same id once the log is back",
    "unsettled": "ask again with the same id",
    "entry-unreachable": "ask another entry",
    "unauthorized": "check the key in REELSCALE_KEY",
}


def plan(data: dict[str, Any]) -> str:
    """Return a plan as text."""
    lines = [f"Plan {data['id']}, on offset {data['base']}:"]
    lines += [f"  {_coloured(line)}" for line in data["diff"]]
    for group, cost in data["costs"].items():
        lines.append(
            f"  {group}: skew {cost['skew_before']:.3f} -> "
            f"{cost['skew_after']:.3f} (no less than {cost['bound']:.3f}), "
            f"{cost['moves']} experts to load"
        )
    lines.append(f"Bytes moved: {data['bytes_moved']}")
    touched = ", ".join(data["affected"]) or "none"
    lines.append(f"Upstreams touched: {touched}")
    if data["destructive"]:
        lines.append(_paint("This plan takes something away.", RED))
    lines.append(f"Nothing has changed yet: reelscale confirm {data['id']}")
    return "\n".join(lines)


def verdict(data: dict[str, Any]) -> str:
    """Return a verdict as text."""
    return f"Plan {data['id']} is accepted at offset {data['offset']}."


def status(data: dict[str, Any]) -> str:
    """Return the state of all known processes as text."""
    lines = [
        f"Offset {data['offset']}, in force everywhere up to "
        f"{data['in_force_everywhere']}; log heard "
        f"{data['log_age_s']} s ago."
    ]
    for name, offset in sorted(data["offsets_by_process"].items()):
        more = data["upstreams"].get(name)
        words = f"  {name:<16} offset {offset}"
        if more:
            words += f", layout {more['layout']}"
            words += f", model {more['model_version'] or '-'}"
            words += "" if more["healthy"] else ", not well"
            words += ", leaving" if more["leaving"] else ""
        lines.append(words)
    return "\n".join(lines)


def objects(rows: dict[str, Any]) -> str:
    """Return configured objects as text."""
    lines = []
    for name, item in sorted(rows.items()):
        fields = item if isinstance(item, dict) else {"offset": item}
        words = [f"{k}={_short(v)}" for k, v in fields.items() if k != "name"]
        lines.append(f"{name}: {', '.join(words)}")
    return "\n".join(lines) or "none"


def decision(row: dict[str, Any]) -> str:
    """Return a routing decision as text."""
    tried = " then ".join(row["attempts"]) or "no upstream"
    end = f" with {row['code']}" if row["code"] else ""
    return (
        f"Request {row['request']} of {row['workspace']} for "
        f"{row['target']}: sent to {tried}; {row['outcome']}{end} "
        f"after {row['seconds']:.3f} s."
    )


def error(bad: errors.CodedError) -> str:
    """Return an error as text, with what to do next."""
    lines = [_paint(f"{bad.code}: {bad.detail}", RED)]
    lines.append(f"  step {bad.step}, peer {bad.peer or '-'}")
    lines += [f"  {f.path}: expected {f.expected}" for f in bad.faults]
    if bad.code in NEXT_STEP_BY_CODE:
        lines.append(f"  next: {NEXT_STEP_BY_CODE[bad.code]}")
    return "\n".join(lines)


def error_document(bad: errors.CodedError) -> dict[str, Any]:
    """Return an error as JSON data."""
    return {
        "code": bad.code,
        "step": bad.step,
        "peer": bad.peer,
        "detail": bad.detail,
        "outcome": bad.outcome,
        "faults": [fault._asdict() for fault in bad.faults],
    }


def _short(value: Any) -> str:
    text = str(value)
    return text if len(text) < 60 else text[:57] + "..."


def _coloured(line: str) -> str:
    return _paint(line, COLOUR_BY_SIGN.get(line[:1], PLAIN))


def _paint(text: str, colour: str) -> str:
    return f"{colour}{text}{PLAIN}" if sys.stdout.isatty() else text
