"""Writes the reference pages that are made from the code.

docs/operators/settings.md comes from the settings schema and
docs/operators/metrics.md from the metrics that a process keeps; a test
sees that both are up to date.
"""

import pathlib
from typing import Any

from reelscale_core import settings
from reelscale_daemon import metrics

PAGES = pathlib.Path(__file__).parent.parent / "docs" / "operators"


def settings_page() -> str:
    """Return the settings reference."""
    lines = [
        "# Settings",
        "",
        "Made from the schema by `python -m tools.reference`. One JSON",
        "object; unknown keys are faults.",
        "",
        "| key | value | default | what it is |",
        "|---|---|---|---|",
    ]
    required = settings.SCHEMA["required"]
    for key, rule in settings.SCHEMA["properties"].items():
        default = "required" if key in required else rule.get("default", "-")
        lines.append(
            f"| `{key}` | {_kind(rule)} | {default} | {rule['description']} |"
        )
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the metrics reference."""
    lines = [
        "# Metrics",
        "",
        "Made by `python -m tools.reference`. Histograms carry the labels",
        f"`workspace` and `class`; the first {metrics.WORKSPACES_NAMED}",
        "workspaces that a process sees have labels of their own, all others",
        f'share "{metrics.OTHER}", so that label sets stay bounded.',
        "",
        "| metric | kind | what it is |",
        "|---|---|---|",
    ]
    kept = metrics.Metrics().registry
    for item in sorted(kept.get_all(), key=lambda row: row.name):
        kind = type(item).__name__.lower()
        lines.append(f"| `{item.name}` | {kind} | {item.doc} |")
    return "\n".join(lines) + "\n"


def _kind(rule: dict[str, Any]) -> str:
    """Return a rule's kind of value in words."""
    if "$ref" in rule:
        return "address ip:port"
    if "enum" in rule:
        return " or ".join(f"`{value}`" for value in rule["enum"])
    bounds = [
        f"{word} {rule[name]}"
        for name, word in (
            ("minimum", "from"),
            ("exclusiveMinimum", "above"),
            ("maximum", "to"),
        )
        if name in rule
    ]
    return " ".join([rule["type"], *bounds])


def main() -> None:
    """Write both pages."""
    (PAGES / "settings.md").write_text(settings_page())
    (PAGES / "metrics.md").write_text(metrics_page())


if __name__ == "__main__":
    main()
