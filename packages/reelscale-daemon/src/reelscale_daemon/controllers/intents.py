"""Turns operators' intents into plans and confirms plans by the log."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import uuid
from collections.abc import Sequence
from typing import Any

from reelscale_core import error, plan, record
from reelscale_core import state as states

from .. import logs, slices
from ..adapters import platform
from . import config, membership

LOG = logs.Logger("intents")
# Seconds for which an operator's request waits for its record to be read back.
SETTLE_S = 5.0


class Intents:
    """Handles operators' intents at one entry."""

    def __init__(
        self,
        *,
        reactor: Any,
        config: config.Config,
        platform: platform.Platform,
        membership: membership.Membership,
    ) -> None:
        self._reactor = reactor
        self._config = config
        self._platform = platform
        self._membership = membership

    async def make_plan(self, intent: Any, author: str) -> plan.Plan:
        """Make a plan and append it to the log, without applying it.

        Raises:
          CodedError: The intent is invalid, or the log is unavailable.
        """
        self._require_ready("plan")
        rebalanced = await self._rebalance(intent)
        made = plan.make(
            self._config.state,
            intent,
            author=author,
            nonce=uuid.uuid4().hex,
            rebalanced_by_group=rebalanced,
        )
        await self._append(made.record, made.record.id, step="plan")
        LOG.info("Made a plan.", plan=made.record.id, author=author)
        return made

    async def confirm(self, plan_id: str, author: str) -> states.Verdict:
        """Confirm a plan; idempotent.

        Returns:
          The verdict, read back from the log.

        Raises:
          CodedError: "log-down" or "unsettled", both with the outcome
            unknown: retry with the same id; or "unknown-plan".
        """
        self._require_ready("confirm")
        state = self._config.state
        if plan_id in state.verdicts_by_id:
            return state.verdicts_by_id[plan_id]
        if plan_id not in state.plans_by_id:
            raise error.CodedError(
                "unknown-plan",
                step="confirm",
                peer=plan_id,
                status=404,
                detail="this entry has seen no plan of this id",
            )
        item = record.ConfirmRecord(plan=plan_id)
        verdict = await self._append(item, plan_id, step="confirm")
        LOG.info(
            "Decided on a plan.",
            plan=plan_id,
            accepted=verdict.accepted,
            offset=verdict.offset,
            author=author,
        )
        return verdict

    async def _rebalance(self, intent: Any) -> dict[str, plan.Rebalanced]:
        """Return new layouts for the groups that an intent rebalances."""
        groups = plan.groups_to_rebalance(self._config.state, intent)
        if not groups:
            return {}
        await self._membership.refresh(request_expert_load=True)
        loads = self.loads_by_group()
        rebalanced = {}
        for group in groups:
            steps = plan.rebalance(group, loads.get(group.name, ()))
            made = await slices.run(self._reactor, steps)
            if made is not None:
                rebalanced[group.name] = made
        return rebalanced

    def loads_by_group(self) -> dict[str, Sequence[Sequence[float]]]:
        """Return recent tokens by group, layer and expert."""
        groups = self._config.state.groups_by_name
        total: dict[str, list[float]] = {}
        for view in self._membership.views_by_name.values():
            target = view.upstream.target
            if target not in groups:
                continue
            expert_load = view.expert_load
            sums = total.setdefault(target, [0.0] * len(expert_load))
            if len(expert_load) == len(sums):
                total[target] = [
                    a + b for a, b in zip(sums, expert_load, strict=True)
                ]
        return {
            name: _layers(expert_load, groups[name].experts)
            for name, expert_load in total.items()
        }

    async def _append(
        self, item: record.Record, plan_id: str, *, step: str
    ) -> states.Verdict | None:
        """Append a record and wait until it is read back.

        The outcome of an append whose answer was lost is read from the log.
        """
        lost = None
        try:
            await self._platform.append([record.to_json(item)])
        except error.CodedError as down:
            lost = down
        wait_s = 1.0 if lost else SETTLE_S
        if step == "plan":
            result = await self._config.planned(plan_id, wait_s)
        else:
            result = await self._config.settled(plan_id, wait_s)
        if result is not None:
            return result
        raise error.CodedError(
            "log-down" if lost else "unsettled",
            step=step,
            peer=plan_id,
            status=503,
            detail="the log did not confirm this; ask again with this id",
            retry_after_s=2,
            outcome=error.OUTCOME_UNKNOWN,
        )

    def _require_ready(self, step: str) -> None:
        if not self._config.ready:
            raise error.CodedError(
                "not-ready", step=step, status=503, retry_after_s=1
            )


def _layers(expert_load: Sequence[float], experts: int) -> list[list[float]]:
    return [
        list(expert_load[at : at + experts])
        for at in range(0, len(expert_load), experts)
    ]
