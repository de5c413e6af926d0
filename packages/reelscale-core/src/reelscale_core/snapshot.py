"""Snapshots of the state in the log, in parts with a common digest."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any

from . import record, state

# Well below the record size limit of log services.
PART_CHARS = 200_000


def split(current: state.State, *, chars: int = PART_CHARS) -> list[dict]:
    """Split a state into snapshot records for the log.

    The id is derived from the content, so two writers at the same offset
    write identical snapshots.
    """
    return split_text(current.offset, state.dump(current), chars=chars)


def split_text(
    offset: int, text: str, *, chars: int = PART_CHARS
) -> list[dict]:
    """Split a dumped state into snapshot records.

    Args:
      offset: Offset of the state.
      text: The dumped state.
      chars: Maximum length of a part.
    """
    digest = state.digest(text)
    texts = [text[at : at + chars] for at in range(0, len(text), chars)]
    return [
        record.to_json(
            record.SnapshotRecord(
                id=f"{offset}-{digest}",
                at=offset,
                part=index,
                parts=len(texts),
                digest=digest,
                data=part_text,
            )
        )
        for index, part_text in enumerate(texts)
    ]


def newest(rows: Iterable[tuple[int, Any]]) -> state.State | None:
    """Return the newest complete snapshot among records of the log."""
    return state.run(newest_slices(rows))


def newest_slices(
    rows: Iterable[tuple[int, Any]],
) -> state.Slices[state.State | None]:
    """Find the newest complete snapshot, in slices.

    Args:
      rows: (offset, data) pairs; records of other kinds are skipped.

    Returns:
      The state of the snapshot with the highest offset whose parts are
      complete and match the digest, or None.
    """
    parts: dict[str, dict[int, record.SnapshotRecord]] = {}
    complete: list[tuple[int, str]] = []
    for _, data in rows:
        if not isinstance(data, dict) or data.get("kind") != "snapshot":
            continue
        item = record.from_json(data)
        if not isinstance(item, record.SnapshotRecord):
            continue
        received = parts.setdefault(item.id, {})
        received[item.part] = item
        if len(received) >= item.parts:
            complete.append((item.at, item.id))
        yield
    for _, key in sorted(complete, reverse=True):
        loaded = yield from _join(parts[key])
        if loaded is not None:
            return loaded
    return None


def _join(
    received: dict[int, record.SnapshotRecord],
) -> state.Slices[state.State | None]:
    text = "".join(received[index].data for index in sorted(received))
    if state.digest(text) != received[min(received)].digest:
        return None
    try:
        return (yield from state.load_slices(text))
    except (ValueError, KeyError, TypeError):
        return None
