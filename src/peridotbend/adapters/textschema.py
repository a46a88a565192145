"""Pydantic models, called shapes, of the YAML configuration text."""

import socket
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
)
from pydantic_core import PydanticCustomError
from result import Err

from peridotbend.adapters.units import parse_duration_ms, parse_size_bytes
from peridotbend.domain.text import MAX_TIERS

# Pydantic error type of the checks below; its context has `problem` and
# `remedy`.
CUSTOM_ERROR = "peridotbend"
# Paths that the entry instances serve themselves.
RESERVED_PATHS = ("/v1/reservations", "/v1/requests")
# Windows are in work units, which are prompt plus output tokens. The initial
# window has room for one long prompt.
DEFAULT_INITIAL_WINDOW = 8_192
DEFAULT_MIN_WINDOW = 1_024
DEFAULT_MAX_WINDOW = 65_536
DEFAULT_MAX_QUEUE = 256
DEFAULT_MAX_BODY_BYTES = 1 << 20
DEFAULT_MAX_ANSWER_BYTES = 1 << 20
DEFAULT_KEEP_ANSWER_MS = 600_000


def custom_error(problem: str, remedy: str) -> PydanticCustomError:
    """Creates a pydantic error that carries a problem and its remedy."""
    return PydanticCustomError(
        CUSTOM_ERROR, "{problem}", {"problem": problem, "remedy": remedy}
    )


def _check_duration(value: object) -> int:
    parsed = parse_duration_ms(value)
    if isinstance(parsed, Err):
        raise custom_error(*parsed.err_value)
    return parsed.ok_value


def _check_size(value: object) -> int:
    parsed = parse_size_bytes(value)
    if isinstance(parsed, Err):
        raise custom_error(*parsed.err_value)
    return parsed.ok_value


def split_address(address: str) -> tuple[str, int] | None:
    """Splits `10.0.0.1:80` or `[fd00::1]:80`; returns None if malformed."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    if not 0 < int(port) < 65_536:
        return None
    # A configuration text has thousands of addresses, and `ipaddress` takes ten
    # times as long as `inet_pton`.
    try:
        if host.startswith("[") and host.endswith("]"):
            packed = socket.inet_pton(socket.AF_INET6, host[1:-1])
            return socket.inet_ntop(socket.AF_INET6, packed), int(port)
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)


def _check_address(value: object) -> tuple[str, int]:
    address = split_address(value) if isinstance(value, str) else None
    if address is None:
        raise custom_error(
            f"is not an address of the form IP:port ({str(value)[:60]!r})",
            "write an IP address and a port, such as 10.0.1.7:8000 or "
            "[fd00::7]:8000; host names are not resolved",
        )
    return address


def _check_path(value: str) -> str:
    printable = value.isascii() and value.isprintable()
    if not value.startswith("/") or not printable or set(value) & set(" ?#"):
        raise custom_error(
            f"is not a path ({value[:60]!r})",
            "write a path that starts with / and has no query, such as "
            "/v1/chat/completions",
        )
    if any(value == p or value.startswith(p + "/") for p in RESERVED_PATHS):
        raise custom_error(
            f"is a path that the entry instances answer ({value[:60]!r})",
            f"choose a path outside {' and '.join(RESERVED_PATHS)}",
        )
    return value


Duration = Annotated[int, BeforeValidator(_check_duration)]
Size = Annotated[int, BeforeValidator(_check_size)]
Name = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Positive = Annotated[int, Field(gt=0, le=10**12)]
NotNegative = Annotated[int, Field(ge=0, le=10**12)]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F]{64}$")]


class Shape(BaseModel):
    """Base of all shapes: frozen, without coercion or unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ClientShape(Shape):
    """Entry of `clients`."""

    bearer_sha256: Sha256 | None = None
    weight: Positive = 1
    work_per_s: NotNegative = 0
    max_concurrent: NotNegative = 0


class RouteShape(Shape):
    """Method, path and model by which a call is matched to a kind."""

    method: Literal["GET", "POST", "PUT", "PATCH", "DELETE"] = "POST"
    path: Annotated[str, AfterValidator(_check_path)]
    model: Annotated[str, StringConstraints(max_length=200)] = ""


class KindShape(Shape):
    """Entry of `kinds`."""

    tier: str
    idempotent: bool
    deadline: Duration
    route: RouteShape
    max_body: Size = DEFAULT_MAX_BODY_BYTES
    max_answer: Size = DEFAULT_MAX_ANSWER_BYTES
    keep_answer: Duration | None = None


class WindowShape(Shape):
    """Initial value and bounds of a target's adaptive window."""

    initial: Positive | None = None
    min: Positive | None = None
    max: Positive | None = None

    def apply_defaults(self) -> tuple[int, int, int]:
        """Returns initial, min and max; defaults adapt to the values set."""
        maximum = self.max or max(
            DEFAULT_MAX_WINDOW, self.initial or 0, self.min or 0
        )
        initial = self.initial or max(
            self.min or 0, min(DEFAULT_INITIAL_WINDOW, maximum)
        )
        minimum = self.min or min(DEFAULT_MIN_WINDOW, initial)
        return initial, minimum, maximum


class TargetShape(Shape):
    """Entry of a zone's list of targets."""

    name: Name
    address: Annotated[tuple[str, int], BeforeValidator(_check_address)]
    checks_fencing: bool = False


class ServiceShape(Shape):
    """Entry of `services`."""

    engine: Literal["model", "application"]
    depends_on: list[str] = Field(default_factory=list)
    window: WindowShape = Field(default_factory=WindowShape)
    max_queue: Positive = DEFAULT_MAX_QUEUE
    kinds: Annotated[dict[Name, KindShape], Field(min_length=1)]
    targets: dict[Name, list[TargetShape]]


class TextShape(Shape):
    """The whole configuration text."""

    version: Positive
    tiers: Annotated[list[Name], Field(min_length=1, max_length=MAX_TIERS)]
    clients: dict[Name, ClientShape] = Field(default_factory=dict)
    services: Annotated[dict[Name, ServiceShape], Field(min_length=1)]
