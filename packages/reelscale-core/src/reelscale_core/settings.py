"""Reads and validates the settings of reelscaled."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import pathlib
from datetime import timedelta
from typing import Any, NamedTuple

from . import error, schema

SCHEMA = schema.load("reelscale_core", "settings.schema.json")


class Operator(NamedTuple):
    """A credential of an operator.

    Attributes:
      name: Name of the operator.
      key_digest: SHA-256, hex, of the key.
    """

    name: str
    key_digest: str


class Settings(NamedTuple):
    """The settings of a process; the schema describes each but path.

    Attributes:
      path: Path of the settings file.
    """

    path: str
    name: str
    hall: str
    peer: str
    http: str
    platform: str
    peers: tuple[str, ...]
    operators: tuple[Operator, ...]
    engine: str
    target: str
    kind: str
    slots: int
    checks_fence: bool
    subset: int
    queue: int
    body_bytes: int
    buffer_bytes: int
    deadline: timedelta
    heartbeat: timedelta
    lease: timedelta
    stop_wait: timedelta
    snapshot_every: int
    adapter: str
    health: str
    usage: str
    agent_port: int
    grace: timedelta
    descriptors: int
    retry_ratio: float
    log_json: bool
    test_controls: bool


def read(path: str, *, role: str) -> Settings:
    """Read a settings file for a role.

    Raises:
      CodedError: "no-settings", "bad-json" or "bad-document"; the last
        lists all faults of the file.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as exc:
        raise error.CodedError(
            "no-settings", step="settings", peer=path, detail=str(exc)
        ) from exc
    document = schema.decode(text, step="settings")
    return parse(document, role=role, path=path)


def parse(document: Any, *, role: str, path: str = "") -> Settings:
    """Validate a decoded document and fill in defaults."""
    faults = list(schema.faults(document, SCHEMA))
    if isinstance(document, dict):
        if role == "agent" and "engine" not in document:
            faults.append(error.Fault("/engine", "the URL of the upstream"))
        standalone = not document.get("adapter")
        if role == "entry" and standalone and not document.get("operators"):
            faults.append(error.Fault("/operators", "at least one operator"))
        required = ("health", "usage") if role == "entry" else ("target",)
        for name in required:
            if not standalone and not document.get(name):
                expected = "a value, as there is an adapter"
                faults.append(error.Fault(f"/{name}", expected))
    if faults:
        raise error.CodedError(
            "bad-document",
            step="settings",
            detail=f"{len(faults)} fault(s) in the settings",
            faults=tuple(faults),
        )
    return _build(document, path)


def _build(document: dict[str, Any], path: str) -> Settings:
    rules = SCHEMA["properties"]
    data = {key: rule.get("default", "") for key, rule in rules.items()}
    data.update(document)
    for name in ("deadline", "heartbeat", "lease", "stop_wait", "grace"):
        data[name] = timedelta(seconds=data.pop(f"{name}_s"))
    data["peers"] = tuple(data["peers"])
    data["operators"] = tuple(Operator(**row) for row in data["operators"])
    return Settings(path=path, **data)
