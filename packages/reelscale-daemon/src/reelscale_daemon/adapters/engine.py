"""Meets a model engine's control side: load reports and fenced orders."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

from typing import Any, NamedTuple

from reelscale_core import lockstep, model

from . import upstream


class Load(NamedTuple):
    """What an engine reports of itself; it lags.

    Attributes:
      running: Requests in progress.
      queued: Requests waiting in the engine.
      capacity: Requests that it runs at once.
      step_ms: Recent time of a step.
      model_version: The model in force.
      heat: Recent tokens of each expert, layer after layer.
    """

    running: int
    queued: int
    capacity: int
    step_ms: float = 0.0
    model_version: str = ""
    heat: tuple[int, ...] = ()


class Engine:
    """The control side of the engine behind one agent."""

    def __init__(self, *, upstream: upstream.Upstream) -> None:
        self._upstream = upstream

    async def load(self) -> Load:
        """Ask for the load report.

        Raises:
          Exception: The engine did not answer, or not in this form.
        """
        data = await self._upstream.fetch("GET", "/load")
        data["heat"] = tuple(data.get("heat", ()))
        return Load(**data)

    async def rank(self) -> lockstep.Rank:
        """Ask what layouts the engine's ranks hold."""
        return _rank(await self._upstream.fetch("GET", "/rank"))

    async def role(self, role: str, fence: int) -> None:
        """Order a change of role, fenced by a log offset."""
        order = {"kind": "role", "fence": fence, "role": role}
        await self._upstream.fetch("POST", "/orders", order)

    async def order(
        self, order: lockstep.Order, layout: model.Layout | None
    ) -> tuple[lockstep.Rank, bool]:
        """Give a layout order.

        Returns:
          What the ranks hold after it, and whether it was accepted.
        """
        data = {"kind": type(order).__name__.lower(), **order._asdict()}
        if layout is not None:
            data["layout"] = model.to_json(layout)
        got = await self._upstream.fetch("POST", "/orders", data)
        return _rank(got["rank"]), got["accepted"]


def _rank(data: dict[str, Any]) -> lockstep.Rank:
    return lockstep.Rank(**{**data, "staged": frozenset(data["staged"])})
