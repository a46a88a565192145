"""Decodes the documents in the platform's store into the project's types."""

import json

from result import Err, Ok, Result

from peridotbend.edge.config import (
    Account,
    CallerLimits,
    EdgeConfig,
    Route,
    RouteKind,
    WeightedService,
)
from peridotbend.edge.targets import EdgeTarget
from peridotbend.platform.fields import (
    BadFieldError,
    Fields,
    read_text,
)

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_STATES = ("ready", "draining")
# Unix time before which no target can have started (2001); smaller numbers
# are not in milliseconds.
MIN_START_MS = 1_000_000_000_000


def decode_config(body: bytes) -> Result[EdgeConfig, str]:
    """Returns a configuration, or which field is wrong."""
    try:
        return Ok(_read_config(Fields(json.loads(body))))
    except (ValueError, RecursionError, BadFieldError) as error:
        return Err(str(error))


def decode_target(name: str, body: bytes) -> Result[EdgeTarget, str]:
    """Returns a target by its entry, or why the entry names none."""
    try:
        return Ok(_read_target(name, Fields(json.loads(body))))
    except (ValueError, RecursionError, BadFieldError) as error:
        return Err(str(error))


def _read_config(fields: Fields) -> EdgeConfig:
    return EdgeConfig(
        version=fields.get_whole("version"),
        routes=tuple(fields.get_list("routes", _read_route, optional=False)),
        accounts=tuple(fields.get_list("tenants", _read_account)),
        limits=_read_limits(fields.get_table("limits")),
    )


def _read_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=fields.get_whole("max_header_bytes", least=1),
        max_body_bytes=fields.get_whole("max_body_bytes"),
        header_timeout_ms=fields.get_whole("header_timeout_ms", least=1),
        idle_timeout_ms=fields.get_whole("idle_timeout_ms", least=1),
    )


def _read_route(value: object, path: str) -> Route:
    fields = Fields(value, path)
    kind_name = fields.get_text("route_kind")
    kind = _KINDS.get(kind_name)
    if kind is None:
        raise BadFieldError(f"{path}.route_kind: unknown kind {kind_name!r}")
    timeout_ms = fields.get_whole("timeout_ms", least=1)
    return Route(
        name=fields.get_text("name"),
        host=fields.get_text("host"),
        prefix=fields.get_text("path_prefix"),
        kind=kind,
        services=_read_split(fields, path),
        max_attempts=fields.get_whole("max_attempts", 1, least=1),
        timeout_ms=timeout_ms,
        objective_ms=fields.get_whole("goal_ms", timeout_ms, least=1),
        gap_objective_ms=fields.get_whole("gap_goal_ms", 0),
        rank=fields.get_whole("priority", 0),
        is_public=fields.get_flag("public", False),
        is_generation=fields.get_flag("sticky", False),
        can_resume=fields.get_flag("resumable", False),
    )


def _read_split(fields: Fields, path: str) -> tuple[WeightedService, ...]:
    # A route names one service, or several with weights.
    if "split" not in fields:
        return (WeightedService(fields.get_text("service"), 1.0),)
    split = tuple(fields.get_list("split", _read_share))
    if not any(share.weight > 0 for share in split):
        raise BadFieldError(f"{path}.split: no share has a weight above 0")
    return split


def _read_share(value: object, path: str) -> WeightedService:
    fields = Fields(value, path)
    return WeightedService(
        fields.get_text("service"), fields.get_number("weight")
    )


def _read_account(value: object, path: str) -> Account:
    fields = Fields(value, path)
    return Account(
        name=fields.get_text("name"),
        keys=frozenset(fields.get_list("api_keys", read_text)),
        rank=fields.get_whole("priority") if "priority" in fields else None,
        tokens_per_s=fields.get_number("rate_per_s", 0.0),
        burst_tokens=fields.get_number("burst", 0.0),
        default_tokens=fields.get_number("uncached_tokens", 1.0),
    )


def _read_target(name: str, fields: Fields) -> EdgeTarget:
    state = fields.get_text("state")
    if state not in _STATES:
        raise BadFieldError(f"state: unknown state {state[:80]!r}")
    host, port = fields.get_address("address")
    started_at_ms = 0
    if "born" in fields:
        started_at_ms = fields.get_whole("born", least=MIN_START_MS)
    return EdgeTarget(
        name=name,
        service=fields.get_text("service"),
        host=host,
        port=port,
        zone=fields.get_text("zone"),
        slots=fields.get_whole("slots", least=1),
        is_leaving=state == "draining",
        started_at_ms=started_at_ms,
    )
