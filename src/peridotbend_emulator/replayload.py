"""What replays play: kinds of request, load patterns and policies."""

import contextlib
import dataclasses
import importlib
from collections.abc import Iterator, Mapping

from peridotbend_emulator.replayengine import EVENT_TOKENS

LENGTH_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; figures are those of the users' first sheet."""

    name: str
    per_s: float
    prompt_tokens: int
    events: int
    objective_ms: int
    timeout_ms: int
    worth: float
    worth_late: float
    rank: int

    @property
    def mean_size(self) -> int:
        """The size that the worth is told for: tokens in and 10 times out."""
        return self.prompt_tokens + 10 * EVENT_TOKENS * self.events


KINDS = (
    Kind("layout-quote", 6.9, 6_670, 64, 800, 15_000, 11.0, 3.2, 0),
    Kind("product-answer", 20.3, 688, 49, 400, 12_000, 1.7, 0.5, 1),
    Kind("chat-tag", 11.6, 1_860, 4, 400, 3_000, 0.5, 0.15, 2),
)
GAP_OBJECTIVE_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load and what befalls the engines."""

    name: str
    # Times the calm rate, within each span of ms.
    bursts: tuple[tuple[int, int, float], ...] = ()
    # Times that a step takes at each engine. The users' engines differ from
    # 0.55 to 2.8; together these do what five of the nominal speed do.
    slowness: tuple[float, ...] = (0.55, 0.8, 1.0, 1.4, 2.8)
    # Engine that is down within a span of ms.
    crash: tuple[int, int, int] | None = None


PATTERNS = (
    Pattern("calm"),
    Pattern("bursts", ((3_000, 8_000, 1.8), (13_000, 15_500, 2.0))),
    Pattern("overload", ((0, LENGTH_MS, 1.7),)),
    Pattern("crash", ((3_000, 8_000, 1.6),), crash=(0, 9_000, 13_000)),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Constants of the decisions, by module and name."""

    name: str
    constants: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    # Whether instances tell each other what they have in flight.
    shares_use: bool = True
    digest_ms: int = 50


POLICIES = (
    Policy("as-is"),
    Policy("own-use-only", shares_use=False),
    Policy("wait-3-objectives", {("backlog", "PATIENCE_SHARE"): 3.0}),
    Policy("pace-ignored", {("health", "PACE_SMOOTHING"): 0.0}),
    Policy(
        "fill-1.3",
        {
            ("selection", "ENGINE_FILL"): 1.3,
            ("selection", "TOP_RANK_FILL"): 1.45,
        },
    ),
)


@contextlib.contextmanager
def apply_policy(policy: Policy) -> Iterator[None]:
    """Sets the constants of a policy for one replay."""
    before = {}
    for (module_name, name), value in policy.constants.items():
        module = importlib.import_module(f"peridotbend.edge.{module_name}")
        before[module, name] = getattr(module, name)
        setattr(module, name, value)
    try:
        yield
    finally:
        for (module, name), value in before.items():
            setattr(module, name, value)
