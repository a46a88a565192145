"""Checks a configuration of the platform before it is published."""

import collections
import dataclasses
import enum
import json
from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

from result import Err

from peridotbend.edge.config import (
    Account,
    CallerLimits,
    EdgeConfig,
    Route,
    RouteKind,
    Service,
)
from peridotbend.platform.documents import decode_config, list_bad_fields

# Bounds the output for configurations that have little in common.
MAX_LISTED = 200

Entry = TypeVar("Entry", Route, Account, Service)


class Severity(enum.Enum):
    """Whether a configuration with a finding would do harm."""

    # It is refused, or something in it can never work.
    ERROR = "error"
    # It works, but something in it has no effect, or not the one it seems.
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem, where it is, and what to do about it."""

    severity: Severity
    location: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return (
            f"{self.severity.value}: {self.location}: {self.problem}; "
            f"{self.remedy}"
        )


def is_platform_config(body: bytes) -> bool:
    """Tells whether a document is one of the platform, and not a text."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        # JSON that does not end is reported as what it begins as.
        return body.lstrip().startswith(b"{") and b'"routes"' in body
    return isinstance(document, dict) and "routes" in document


def check_config(
    body: bytes, in_force: EdgeConfig | None = None
) -> list[Finding]:
    """Returns the problems of a configuration, errors first.

    Args:
        body: the document.
        in_force: the configuration that it is to replace; None if unknown.
    """
    decoded = decode_config(body)
    if isinstance(decoded, Err):
        problems = list_bad_fields(body) or [decoded.err_value]
        return list(map(_make_field_error, problems))
    config = decoded.ok_value
    findings = [
        *_check_version(config, in_force),
        *_check_routes(config.routes),
        *_check_accounts(config.accounts),
        *_check_services(config),
        *_check_limits(config.limits),
    ]
    return sorted(findings, key=lambda found: found.severity.value)


def _make_field_error(problem: str) -> Finding:
    location, separator, detail = problem.partition(": ")
    # Other errors are of JSON, and name a line and a column.
    if not separator or " " in location:
        location, detail = "document", problem
    if detail == "missing":
        return Finding(Severity.ERROR, location, detail, "add the field")
    return Finding(Severity.ERROR, location, detail, "correct the value")


def _check_version(
    config: EdgeConfig, in_force: EdgeConfig | None
) -> Iterator[Finding]:
    if in_force is not None and config.version <= in_force.version:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{config.version} is not above {in_force.version}, which is in"
            " force, so that no instance takes it over",
            f"set it to {in_force.version + 1} or more",
        )


def _check_routes(routes: Sequence[Route]) -> Iterator[Finding]:
    places: dict[tuple[str, str], int] = {}
    names: dict[str, int] = {}
    for index, route in enumerate(routes):
        location = f"routes[{index}]"
        yield from _check_route(route, location)
        if names.setdefault(route.name, index) != index:
            yield Finding(
                Severity.WARNING,
                f"{location}.name",
                f"routes[{names[route.name]}] is also named {route.name!r}, so"
                " that logs and metrics do not tell them apart",
                "give each route its own name",
            )
        place = route.host.lower(), route.prefix
        if place in places:
            yield Finding(
                Severity.ERROR,
                f"routes[{places[place]}]",
                f"never matches: {location} has the same host and path prefix",
                "remove one of them",
            )
        places[place] = index


def _check_route(route: Route, location: str) -> Iterator[Finding]:
    prefix = route.prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield Finding(
            Severity.ERROR,
            f"{location}.path_prefix",
            f"{prefix!r} never matches: a path is compared up to a slash",
            "begin and end it with a slash",
        )
    if "?" in prefix or "#" in prefix:
        yield Finding(
            Severity.ERROR,
            f"{location}.path_prefix",
            f"{prefix!r} never matches: paths are compared without query",
            "remove what follows the path",
        )
    if ":" in route.host:
        yield Finding(
            Severity.ERROR,
            f"{location}.host",
            f"{route.host!r} never matches: hosts are compared without port",
            "remove the port",
        )
    yield from _check_split(route, location)
    yield from _check_times(route, location)
    is_repeated = route.may_repeat or route.kind is RouteKind.STREAM
    if route.max_attempts > 1 and not is_repeated:
        yield Finding(
            Severity.WARNING,
            f"{location}.max_attempts",
            f"{route.max_attempts} has no effect beyond 1 once a request may"
            " have run, as the route is not repeatable",
            "set it to 1",
        )
    if route.can_resume and route.kind is not RouteKind.STREAM:
        yield Finding(
            Severity.WARNING,
            f"{location}.resumable",
            "has no effect: the answers of the route are no streams",
            "remove it, or correct route_kind",
        )


def _check_split(route: Route, location: str) -> Iterator[Finding]:
    counts = collections.Counter(service.name for service in route.services)
    for index, service in enumerate(route.services):
        where = f"{location}.split[{index}]"
        if not service.weight:
            yield Finding(
                Severity.WARNING,
                f"{where}.weight",
                f"{service.name!r} gets no request: its weight is 0",
                "remove the entry, or give it a weight",
            )
        if counts[service.name] > 1:
            yield Finding(
                Severity.WARNING,
                f"{where}.service",
                f"{service.name!r} is listed more than once",
                "add up the weights in one entry",
            )


def _check_times(route: Route, location: str) -> Iterator[Finding]:
    for name, value_ms in (
        ("goal_ms", route.objective_ms),
        ("gap_goal_ms", route.gap_objective_ms),
    ):
        if value_ms > route.timeout_ms:
            yield Finding(
                Severity.ERROR,
                f"{location}.{name}",
                f"{value_ms} ms exceeds timeout_ms ({route.timeout_ms}), so"
                " that every request ends before it is late",
                "lower it, or raise timeout_ms",
            )
    if route.gap_objective_ms and route.kind is not RouteKind.STREAM:
        yield Finding(
            Severity.WARNING,
            f"{location}.gap_goal_ms",
            "has no effect: the answers of the route are no streams",
            "remove it, or correct route_kind",
        )


def _check_accounts(accounts: Sequence[Account]) -> Iterator[Finding]:
    owners: dict[str, int] = {}
    names: dict[str, int] = {}
    for index, account in enumerate(accounts):
        location = f"tenants[{index}]"
        if names.setdefault(account.name, index) != index:
            yield Finding(
                Severity.ERROR,
                f"{location}.name",
                f"tenants[{names[account.name]}] is also named"
                f" {account.name!r}: they share one allowance",
                "join them, or name them apart",
            )
        if not account.keys:
            yield Finding(
                Severity.WARNING,
                f"{location}.api_keys",
                f"{account.name!r} never matches: it has no key",
                "add a key, or remove the entry",
            )
        # Keys are secrets and are not printed.
        for owner in sorted({owners[k] for k in account.keys if k in owners}):
            yield Finding(
                Severity.ERROR,
                f"tenants[{owner}].api_keys",
                f"a key never matches: {location} has it as well",
                "give each key to one account",
            )
        owners.update(dict.fromkeys(account.keys, index))
        yield from _check_allowance(account, location)


def _check_allowance(account: Account, location: str) -> Iterator[Finding]:
    if not account.tokens_per_s:
        if account.burst_tokens:
            yield Finding(
                Severity.WARNING,
                f"{location}.burst",
                "has no effect: without rate_per_s there is no limit",
                "add rate_per_s, or remove it",
            )
        return
    if account.burst_tokens < account.default_tokens:
        yield Finding(
            Severity.WARNING,
            f"{location}.burst",
            f"{account.burst_tokens:g} is less than the cost of a request that"
            f" states none ({account.default_tokens:g}), so that each takes the"
            " whole allowance",
            "raise it, or lower uncached_tokens",
        )


def _check_services(config: EdgeConfig) -> Iterator[Finding]:
    used = {s.name for route in config.routes for s in route.services}
    names: dict[str, int] = {}
    for index, service in enumerate(config.services):
        location = f"services[{index}]"
        if names.setdefault(service.name, index) != index:
            yield Finding(
                Severity.ERROR,
                location,
                f"services[{names[service.name]}] is also named"
                f" {service.name!r}; one of them has no effect",
                "remove one of them",
            )
        if service.name not in used:
            yield Finding(
                Severity.WARNING,
                location,
                f"no route leads to {service.name!r}",
                "add a route, or remove the entry",
            )
        yield from _check_cold(service, location)


def _check_cold(service: Service, location: str) -> Iterator[Finding]:
    if service.cold_per_s == 0:
        yield Finding(
            Severity.WARNING,
            f"{location}.cold_per_s",
            "0 leaves a cold target only what the settings add",
            "raise it, or remove it for no bound",
        )
    if service.cold_start_ms and service.cold_per_s is None:
        yield Finding(
            Severity.WARNING,
            f"{location}.cold_start_s",
            "has no effect: without cold_per_s nothing is bounded",
            "add cold_per_s, or remove it",
        )


def _check_limits(limits: CallerLimits) -> Iterator[Finding]:
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        yield Finding(
            Severity.WARNING,
            "limits.idle_timeout_ms",
            f"{limits.idle_timeout_ms} ms is less than header_timeout_ms"
            f" ({limits.header_timeout_ms}): a caller may take longer for a"
            " head than between two requests",
            "raise it, or lower header_timeout_ms",
        )
    if not limits.max_body_bytes:
        yield Finding(
            Severity.ERROR,
            "limits.max_body_bytes",
            "0 refuses every request with a body",
            "raise it",
        )


def compare_configs(old: EdgeConfig, new: EdgeConfig) -> list[str]:
    """Returns what differs, one line each; keys of callers are not told."""
    lines = []
    if old.version != new.version:
        lines.append(f"version: {old.version} -> {new.version}")
    lines += _compare_entries("routes", old.routes, new.routes, _describe_route)
    lines += _compare_entries(
        "tenants", old.accounts, new.accounts, _describe_account
    )
    lines += _compare_entries(
        "services", old.services, new.services, _describe_service
    )
    lines += _compare_fields(
        "limits", dataclasses.asdict(old.limits), dataclasses.asdict(new.limits)
    )
    if len(lines) > MAX_LISTED:
        left = len(lines) - MAX_LISTED
        lines[MAX_LISTED:] = [f"{left} further differences"]
    return lines


def _compare_entries(
    kind: str,
    old: Sequence[Entry],
    new: Sequence[Entry],
    describe: Callable[[Entry], dict[str, object]],
) -> list[str]:
    before = {entry.name: entry for entry in old}
    after = {entry.name: entry for entry in new}
    lines = [f"{kind}[{name}]: removed" for name in before if name not in after]
    for name, entry in after.items():
        if name not in before:
            lines.append(f"{kind}[{name}]: added")
            continue
        lines += _compare_fields(
            f"{kind}[{name}]", describe(before[name]), describe(entry)
        )
        previous = before[name]
        if isinstance(previous, Account) and isinstance(entry, Account):
            lines += _compare_keys(f"{kind}[{name}]", previous, entry)
    return lines


def _compare_fields(
    location: str, old: dict[str, object], new: dict[str, object]
) -> list[str]:
    return [
        f"{location}.{name}: {old[name]} -> {value}"
        for name, value in new.items()
        if old[name] != value
    ]


def _compare_keys(location: str, old: Account, new: Account) -> list[str]:
    added, removed = len(new.keys - old.keys), len(old.keys - new.keys)
    if not (added or removed):
        return []
    return [f"{location}.api_keys: {added} added, {removed} removed"]


def _describe_route(route: Route) -> dict[str, object]:
    return {
        "host": route.host,
        "path_prefix": route.prefix,
        "route_kind": route.kind.value,
        "split": ", ".join(f"{s.name} {s.weight:g}" for s in route.services),
        "max_attempts": route.max_attempts,
        "timeout_ms": route.timeout_ms,
        "goal_ms": route.objective_ms,
        "gap_goal_ms": route.gap_objective_ms,
        "priority": route.rank,
        "public": route.is_public,
        "sticky": route.is_generation,
        "resumable": route.can_resume,
    }


def _describe_account(account: Account) -> dict[str, object]:
    return {
        "priority": account.rank,
        "rate_per_s": account.tokens_per_s,
        "burst": account.burst_tokens,
        "uncached_tokens": account.default_tokens,
    }


def _describe_service(service: Service) -> dict[str, object]:
    return {
        "cold_per_s": service.cold_per_s,
        "cold_start_s": service.cold_start_ms / 1_000,
    }


def render_json(findings: Sequence[Finding], differences: list[str]) -> str:
    """Returns findings and differences as a JSON document."""
    return json.dumps(
        {
            "findings": [
                {
                    "severity": found.severity.value,
                    "location": found.location,
                    "problem": found.problem,
                    "remedy": found.remedy,
                }
                for found in findings
            ],
            "differences": differences,
        },
        indent=2,
    )
