"""The HTTP side towards operators, under /operator."""

__copyright__ = "Copyright 2026 The reelscale maintainers"
__license__ = "Apache-2.0"

import hmac
from typing import Any

import orjson
from reelscale_core import error, model, placement, plan, schema, settings
from twisted.internet import defer
from twisted.web import resource, server

from . import logs, problem
from .controllers import config, intents, membership
from .filters import context as contexts
from .filters import identify

LOG = logs.Logger("operators")
KINDS = ("workspaces", "services", "groups", "upstreams", "entries")


class Operators(resource.Resource):
    """Plans, confirmations and questions of operators."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        settings: settings.Settings,
        config: config.Config,
        membership: membership.Membership,
        intents: intents.Intents,
        given: contexts.Context,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._config = config
        self._membership = membership
        self._intents = intents
        self._given = given

    def render(self, request: Any) -> int:
        """Start a request; its answer comes later."""
        request_id = self._given.next_id()
        done = defer.ensureDeferred(self._serve(request))
        done.addCallbacks(
            _write, _fail, (request,), None, (request, request_id)
        )
        return server.NOT_DONE_YET

    async def _serve(self, request: Any) -> dict[str, Any]:
        author = self._author(request)
        words = request.path.decode().strip("/").split("/")[1:]
        match request.method.decode(), words:
            case "POST", ["plans"]:
                return await self._plan(request, author)
            case "POST", ["plans", plan_id, "confirm"]:
                return await self._confirm(plan_id, author)
            case "GET", ["plans", plan_id]:
                return self._verdict(plan_id)
            case "GET", ["status"]:
                await self._membership.refresh()
                return self._status()
            case "GET", ["objects", kind] if kind in KINDS:
                return self._objects(kind)
            case "GET", ["explain", request_id]:
                return self._explain(request_id)
            case _:
                raise error.CodedError(
                    "no-such-path", step="operator", status=404
                )

    def _author(self, request: Any) -> str:
        """Return whose credential a request carries."""
        header = request.getHeader("authorization") or ""
        digest = model.digest_of_key(header.removeprefix(identify.BEARER))
        found = ""
        for operator in self._settings.operators:
            if hmac.compare_digest(operator.key_digest, digest):
                found = operator.name
        if not found:
            raise error.CodedError(
                "unauthorized",
                step="operator",
                status=401,
                detail="this needs an operator's credential",
            )
        return found

    async def _plan(self, request: Any, author: str) -> dict[str, Any]:
        if getattr(request, "too_large", False):
            raise error.CodedError("body-too-large", step="plan", status=413)
        intent = schema.decode(request.content.read(), step="plan")
        made = await self._intents.make_plan(intent, author)
        return plan_document(made)

    async def _confirm(self, plan_id: str, author: str) -> dict[str, Any]:
        verdict = await self._intents.confirm(plan_id, author)
        if not verdict.accepted:
            raise error.CodedError(
                verdict.code,
                step="confirm",
                peer=plan_id,
                status=409,
                detail=verdict.detail,
            )
        return {"id": plan_id, **verdict._asdict()}

    def _verdict(self, plan_id: str) -> dict[str, Any]:
        state = self._config.state
        verdict = state.verdicts_by_id.get(plan_id)
        if verdict is not None:
            return {"id": plan_id, "state": "judged", **verdict._asdict()}
        if plan_id in state.plans_by_id:
            return {"id": plan_id, "state": "waits for confirmation"}
        raise error.CodedError(
            "unknown-plan", step="operator", peer=plan_id, status=404
        )

    def _status(self) -> dict[str, Any]:
        """Tell which offset is in force at every process known here."""
        views = self._membership.views_by_name.values()
        offsets = {
            view.upstream.name: view.pulse.offset
            for view in views
            if view.pulse is not None
        }
        offsets.update(self._membership.peer_offsets_by_name)
        offsets[self._settings.name] = self._config.state.offset
        layouts = {
            view.upstream.name: {
                "layout": view.pulse.layout,
                "model_version": view.pulse.model_version,
                "healthy": view.pulse.healthy,
                "leaving": view.pulse.leaving,
            }
            for view in views
            if view.pulse is not None
        }
        return {
            "offset": self._config.state.offset,
            "ready": self._config.ready,
            "log_age_s": round(self._config.reported_log_age_s(), 3),
            "offsets_by_process": offsets,
            "in_force_everywhere": min(offsets.values()),
            "upstreams": layouts,
        }

    def _objects(self, kind: str) -> dict[str, Any]:
        if kind == "entries":
            return dict(self._membership.peer_offsets_by_name)
        rows = getattr(self._config.state, f"{kind}_by_name")
        return {name: model.to_json(item) for name, item in rows.items()}

    def _explain(self, request_id: str) -> dict[str, Any]:
        decision = self._given.decisions.get(request_id)
        if decision is None:
            raise error.CodedError(
                "unknown-request",
                step="explain",
                peer=request_id,
                status=404,
                detail="this entry no longer remembers this request; the"
                " entry's name is the first part of the id",
            )
        return decision._asdict()


def plan_document(made: plan.Plan) -> dict[str, Any]:
    """Return a plan as operators see it."""
    costs = {name: _cost(cost) for name, cost in made.costs_by_group.items()}
    return {
        "id": made.record.id,
        "base": made.record.base,
        "diff": list(made.diff),
        "costs": costs,
        "bytes_moved": made.bytes_moved,
        "affected": list(made.affected),
        "destructive": made.destructive,
    }


def _cost(cost: placement.Cost) -> dict[str, Any]:
    return cost._asdict()


def _write(data: dict[str, Any], request: Any) -> None:
    body = orjson.dumps(data)
    request.setHeader("content-type", "application/json")
    request.setHeader("content-length", str(len(body)))
    request.write(body)
    request.finish()


def _fail(reason: Any, request: Any, request_id: str) -> None:
    fault = reason.value
    if not isinstance(fault, error.CodedError):
        LOG.error("A fault of ours.", reason=reason.getTraceback())
        fault = error.CodedError(
            "internal", step="operator", outcome=error.OUTCOME_UNKNOWN
        )
    problem.write(request, fault, request_id)
