"""Control interface of a model engine: load reports and fenced orders."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from reelscale_core import lockstep, model

from . import upstream


class Load(NamedTuple):
    """Load report of an engine, which lags.

    Attributes:
      running: Requests in progress.
      queued: Requests waiting in the engine.
      capacity: Maximum number of concurrent requests.
      step_ms: Recent duration of a step.
      model_version: The loaded model version.
      heat: Recent tokens per expert, layer by layer.
    """

    running: int
    queued: int
    capacity: int
    step_ms: float = 0.0
    model_version: str = ""
    heat: tuple[int, ...] = ()


class Engine:
    """Control interface of the engine behind one agent."""

    def __init__(self, *, upstream: upstream.Upstream) -> None:
        self._upstream = upstream

    async def load(self) -> Load:
        """Read the load report.

        Raises:
          Exception: No answer, or a malformed one.
        """
        data = await self._upstream.fetch("GET", "/load")
        data["heat"] = tuple(data.get("heat", ()))
        return Load(**data)

    async def rank(self) -> lockstep.Rank:
        """Read the layouts that the engine's ranks hold."""
        return _rank(await self._upstream.fetch("GET", "/rank"))

    async def role(self, role: str, fence: int) -> None:
        """Order a change of role, with a log offset as fence."""
        order = {"kind": "role", "fence": fence, "role": role}
        await self._upstream.fetch("POST", "/orders", order)

    async def order(
        self, order: lockstep.Order, layout: model.Layout | None
    ) -> tuple[lockstep.Rank, bool]:
        """Send a layout order.

        Returns:
          The state of the ranks after it, and whether it was accepted.
        """
        data = {"kind": type(order).__name__.lower(), **order._asdict()}
        if layout is not None:
            data["layout"] = model.to_json(layout)
        answer = await self._upstream.fetch("POST", "/orders", data)
        return _rank(answer["rank"]), answer["accepted"]


def _rank(data: dict[str, Any]) -> lockstep.Rank:
    return lockstep.Rank(**{**data, "staged": frozenset(data["staged"])})
