"""Snapshots of the state in the log, in parts that close with a digest."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from collections.abc import Iterable
from typing import Any

from . import record, state

# A part stays well below the record size that log services allow.
PART_CHARS = 200_000


def split(whole: state.State, *, chars: int = PART_CHARS) -> list[dict]:
    """Cut a state into snapshot records, ready to append.

    The id is derived from the content, so two writers at the same offset
    write the same snapshot and do no harm.
    """
    return split_text(whole.offset, state.dump(whole), chars=chars)


def split_text(
    offset: int, text: str, *, chars: int = PART_CHARS
) -> list[dict]:
    """Cut a dumped state into snapshot records.

    Args:
      offset: Offset of the state.
      text: Its dump.
      chars: Largest part.
    """
    digest = state.digest(text)
    pieces = [text[at : at + chars] for at in range(0, len(text), chars)]
    return [
        record.to_json(
            record.SnapshotRecord(
                id=f"{offset}-{digest}",
                at=offset,
                part=index,
                parts=len(pieces),
                digest=digest,
                data=piece,
            )
        )
        for index, piece in enumerate(pieces)
    ]


def newest(rows: Iterable[tuple[int, Any]]) -> state.State | None:
    """Return the newest whole snapshot among records of the log."""
    return state.run(newest_slices(rows))


def newest_slices(
    rows: Iterable[tuple[int, Any]],
) -> state.Slices[state.State | None]:
    """Find the newest whole snapshot, a little at a time.

    Args:
      rows: (offset, data) pairs; records of other kinds are passed over.

    Returns:
      The state of the snapshot with the highest offset whose parts are
      all there and match the digest, or None.
    """
    parts: dict[str, dict[int, record.SnapshotRecord]] = {}
    whole: list[tuple[int, str]] = []
    for _, data in rows:
        if not isinstance(data, dict) or data.get("kind") != "snapshot":
            continue
        item = record.from_json(data)
        if not isinstance(item, record.SnapshotRecord):
            continue
        have = parts.setdefault(item.id, {})
        have[item.part] = item
        if len(have) >= item.parts:
            whole.append((item.at, item.id))
        yield
    for _, key in sorted(whole, reverse=True):
        loaded = yield from _join(parts[key])
        if loaded is not None:
            return loaded
    return None


def _join(
    have: dict[int, record.SnapshotRecord],
) -> state.Slices[state.State | None]:
    text = "".join(have[index].data for index in sorted(have))
    if state.digest(text) != have[min(have)].digest:
        return None
    try:
        return (yield from state.load_slices(text))
    except (ValueError, KeyError, TypeError):
        return None
