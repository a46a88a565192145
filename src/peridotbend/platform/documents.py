"""Decodes documents from the platform's store into configuration types."""

import ipaddress
import json
import math
import re
from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from peridotbend.edge.config import (
    Account,
    CallerLimits,
    EdgeConfig,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from peridotbend.edge.ports import TargetReport
from peridotbend.edge.published import WriteOrder
from peridotbend.edge.targets import EdgeTarget
from peridotbend.platform import wire
from peridotbend.platform.fields import (
    MAX_NUMBER,
    BadFieldError,
    Fields,
    read_str,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_TARGET_STATES = ("ready", "draining")
# Earliest valid start time of a target, as Unix time in ms (2001). A smaller
# number is not in milliseconds.
MIN_START_MS = 1_000_000_000_000
# Latest valid start time (the end of the year 9999).
MAX_START_MS = 253_402_300_799_999
# Longer IDs of attempts are those of no caller.
MAX_ATTEMPT = 256
# More requests at once than any target has connections for.
MAX_SLOTS = 65_536
# Longest time for which a target may say that it stays cold. A larger number is
# no time of a start.
MAX_COLD_MS = 3_600_000
# Largest number that peers exchange.
MAX_ORDER = 2**63 - 1
# Names of targets are sent in a header. A backslash is left of a key that was
# no text.
_TARGET_NAME = re.compile(r"[!-\[\]-~]+")
# A slash would begin another key, and a backslash is left of one that was no
# text.
_ZONE_NAME = re.compile(r"[^\s\0-\x1f\x7f/\\]+")


def decode_config(body: bytes) -> Result[EdgeConfig, str]:
    """Decodes the configuration; the error names the invalid field."""
    try:
        return Ok(_read_config(Fields(json.loads(body))))
    except (ValueError, RecursionError, BadFieldError) as error:
        return Err(str(error))


def list_bad_fields(body: bytes) -> list[str]:
    """Returns the problems of a configuration, the first of each entry."""
    try:
        fields = Fields(json.loads(body))
    except (ValueError, RecursionError, BadFieldError) as error:
        return [str(error)]
    problems: list[str] = []

    def note(read: Callable[[], object]) -> None:
        try:
            read()
        except BadFieldError as error:
            problems.append(str(error))

    def note_entry(
        read: Callable[[object, str], object],
    ) -> Callable[[object, str], None]:
        return lambda value, path: note(lambda: read(value, path))

    note(lambda: fields.get_int("version", maximum=MAX_ORDER))
    note(
        lambda: fields.get_list(
            "routes", note_entry(_read_route), optional=False
        )
    )
    note(lambda: fields.get_list("tenants", note_entry(_read_account)))
    note(lambda: _read_limits(fields.get_mapping("limits")))
    note(lambda: fields.get_list("services", note_entry(_read_service)))
    return problems


def decode_target(name: str, body: bytes) -> Result[EdgeTarget, str]:
    """Decodes the entry of a target; the error names the invalid field."""
    try:
        return Ok(_read_target(name, Fields(json.loads(body))))
    except (ValueError, RecursionError, BadFieldError) as error:
        return Err(str(error))


def find_evacuated_zone(key: str) -> str:
    """Returns the zone that a key of an operator evacuates, or ""."""
    if not key.startswith(wire.EVACUATION_PREFIX):
        return ""
    zone = key.removeprefix(wire.EVACUATION_PREFIX)
    return zone if _ZONE_NAME.fullmatch(zone) else ""


def decode_evacuation(key: str, body: bytes) -> Result[str, str]:
    """Returns the zone that an entry evacuates; the error names what is odd.

    The key says it all. Its value has to be a document, as all that operators
    write is, or empty.
    """
    zone = find_evacuated_zone(key)
    if not zone:
        return Err("the key names no zone")
    try:
        if body:
            json.loads(body)
    except (ValueError, RecursionError) as error:
        return Err(f"value: {error}")
    return Ok(zone)


def decode_prompt_parts(
    body: bytes, started_at_ms: int
) -> Result[Mapping[str, int], str]:
    """Decodes the prompt parts that a target keeps, with their tokens.

    Args:
        body: of the answer.
        started_at_ms: the listed start of the target, 0 if none. Another run
            under its name tells nothing of what this one kept.
    """
    try:
        fields = Fields(json.loads(body))
        held = fields.get_list("held", _read_part)
        born_ms = fields.get_int("born", started_at_ms)
    except (ValueError, RecursionError, BadFieldError) as error:
        return Err(str(error))
    if started_at_ms and born_ms != started_at_ms:
        return Err("the target was restarted")
    return Ok(dict(held))


def decode_report(body: bytes) -> TargetReport:
    """Decodes what a target says of itself; what it doesn't say is left out."""
    try:
        fields = Fields(json.loads(body))
        started_at_ms = fields.get_int(
            "born", minimum=MIN_START_MS, maximum=MAX_START_MS
        )
    except (ValueError, RecursionError, BadFieldError):
        return TargetReport()
    try:
        runs = fields.get_list("runs", _read_run)
    except BadFieldError:
        return TargetReport(started_at_ms)
    attempts = (attempt for attempt, events in runs if events)
    return TargetReport(started_at_ms, frozenset(attempts))


def _read_run(value: object, path: str) -> tuple[str, int]:
    """Reads an attempt, and how many events were made for it."""
    if not isinstance(value, list) or len(value) < 3:
        raise BadFieldError(f"{path} is no run")
    attempt, events = value[0], value[2]
    if not isinstance(attempt, str) or not 0 < len(attempt) <= MAX_ATTEMPT:
        raise BadFieldError(f"{path} names no attempt")
    if not isinstance(events, int) or isinstance(events, bool) or events < 0:
        raise BadFieldError(f"{path} has no number of events")
    return attempt, events


def read_config_order(body: bytes) -> WriteOrder:
    """Returns the version of a configuration."""
    return _read_order(body, "version"), 0


def read_target_order(body: bytes) -> WriteOrder:
    """Returns start and sequence of the entry of a target.

    A restart begins the sequence anew.
    """
    return _read_order(body, "born"), _read_order(body, "sequence")


def _read_order(body: bytes, name: str) -> int:
    """Returns a number of a document, 0 if it has none."""
    try:
        return Fields(json.loads(body)).get_int(name, 0, maximum=MAX_ORDER)
    except (ValueError, RecursionError, BadFieldError):
        return 0


def _read_config(fields: Fields) -> EdgeConfig:
    return EdgeConfig(
        version=fields.get_int("version", maximum=MAX_ORDER),
        routes=tuple(fields.get_list("routes", _read_route, optional=False)),
        accounts=tuple(fields.get_list("tenants", _read_account)),
        limits=_read_limits(fields.get_mapping("limits")),
        services=tuple(fields.get_list("services", _read_service)),
    )


def _read_service(value: object, path: str) -> Service:
    fields = Fields(value, path)
    cold_per_s = None
    if "cold_per_s" in fields:
        cold_per_s = fields.get_number("cold_per_s")
    cold_start_ms = math.ceil(fields.get_number("cold_start_s", 0.0) * 1_000)
    return Service(
        fields.get_str("name"), cold_per_s, cold_start_ms, "engine" in fields
    )


def _read_limits(fields: Fields) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=fields.get_int("max_header_bytes", minimum=1),
        max_body_bytes=fields.get_int("max_body_bytes"),
        header_timeout_ms=fields.get_int("header_timeout_ms", minimum=1),
        idle_timeout_ms=fields.get_int("idle_timeout_ms", minimum=1),
    )


def _read_route(value: object, path: str) -> Route:
    fields = Fields(value, path)
    kind_name = fields.get_str("route_kind")
    kind = _ROUTE_KINDS.get(kind_name)
    if kind is None:
        raise BadFieldError(f"{path}.route_kind: unknown kind {kind_name!r}")
    timeout_ms = fields.get_int("timeout_ms", minimum=1)
    return Route(
        name=fields.get_str("name"),
        host=fields.get_str("host"),
        prefix=fields.get_str("path_prefix"),
        kind=kind,
        services=_read_services(fields, path),
        max_attempts=fields.get_int("max_attempts", 1, minimum=1),
        timeout_ms=timeout_ms,
        objective_ms=fields.get_int("goal_ms", timeout_ms, minimum=1),
        gap_objective_ms=fields.get_int("gap_goal_ms", 0),
        rank=fields.get_int("priority", 0),
        is_public=fields.get_bool("public", False),
        is_generation=fields.get_bool("sticky", False),
        can_resume=fields.get_bool("resumable", False),
    )


def _read_services(fields: Fields, path: str) -> tuple[WeightedService, ...]:
    # A route has either one service, or a split over several with weights.
    if "split" not in fields:
        return (WeightedService(fields.get_str("service"), 1.0),)
    split = tuple(fields.get_list("split", _read_weighted_service))
    if not any(share.weight > 0 for share in split):
        raise BadFieldError(
            f"{path}.split: at least one weight must be above 0"
        )
    return split


def _read_weighted_service(value: object, path: str) -> WeightedService:
    fields = Fields(value, path)
    return WeightedService(
        fields.get_str("service"), fields.get_number("weight")
    )


def _read_account(value: object, path: str) -> Account:
    fields = Fields(value, path)
    return Account(
        name=fields.get_str("name"),
        keys=frozenset(fields.get_list("api_keys", read_str)),
        rank=fields.get_int("priority") if "priority" in fields else None,
        tokens_per_s=fields.get_number("rate_per_s", 0.0),
        burst_tokens=fields.get_number("burst", 0.0),
        default_tokens=fields.get_number("uncached_tokens", 1.0),
    )


def _read_target(name: str, fields: Fields) -> EdgeTarget:
    state = fields.get_str("state")
    if state not in _TARGET_STATES:
        raise BadFieldError(f"state: unknown state {state[:80]!r}")
    if not _TARGET_NAME.fullmatch(name):
        raise BadFieldError(f"name: {ascii(name)[:80]} is no name of a target")
    host, port = fields.get_address("address")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise BadFieldError(f"address: {str(error)!a}") from error
    started_at_ms = 0
    if "born" in fields:
        started_at_ms = fields.get_int(
            "born", minimum=MIN_START_MS, maximum=MAX_START_MS
        )
    cold_left_ms, cold_problem = _read_cold_left(fields)
    # Only orders the entries; an entry damaged here may be damaged elsewhere.
    fields.get_int("sequence", 0, maximum=MAX_ORDER)
    return EdgeTarget(
        name=name,
        service=fields.get_str("service"),
        host=host,
        port=port,
        zone=fields.get_str("zone"),
        slots=fields.get_int("slots", minimum=1, maximum=MAX_SLOTS),
        is_leaving=state == "draining",
        started_at_ms=started_at_ms,
        software=fields.get_str("version"),
        cold_left_ms=cold_left_ms,
        cold_problem=cold_problem,
    )


def _read_cold_left(fields: Fields) -> tuple[int | None, str]:
    """Returns how long a target stays cold, and why this is not known.

    An odd number is no reason to give a target up.
    """
    if "cold_left_ms" not in fields:
        return None, ""
    try:
        left_ms = fields.get_number("cold_left_ms", maximum=MAX_COLD_MS)
    except BadFieldError as error:
        return None, str(error)
    return math.ceil(left_ms), ""


def _read_part(value: object, path: str) -> tuple[str, int]:
    # A list whose second entry is the ID, and its third one the tokens.
    if not isinstance(value, list) or len(value) < 2:
        raise BadFieldError(f"{path}: must be a list with an ID")
    tokens = value[2] if len(value) > 2 else 0
    if not isinstance(tokens, int) or not 0 <= tokens <= MAX_NUMBER:
        # How much is kept is not known.
        tokens = 0
    return read_str(value[1], path), tokens
