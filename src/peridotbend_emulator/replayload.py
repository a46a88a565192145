"""Inputs of a replay: kinds of request, load patterns and policies."""

import contextlib
import dataclasses
import importlib
from collections.abc import Iterator, Mapping

from peridotbend_emulator.replayengine import TOKENS_PER_EVENT

DURATION_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; the figures are from the users' first data sheet.

    The token and event counts are means. A late answer still has the value
    `value_late`.
    """

    name: str
    arrivals_per_s: float
    mean_prompt_tokens: int
    mean_events: int
    objective_ms: int
    timeout_ms: int
    value_on_time: float
    value_late: float
    rank: int

    @property
    def mean_size(self) -> int:
        """Mean size of a request, for which its value is stated.

        The size is the prompt tokens plus 10 times the output tokens.
        """
        return (
            self.mean_prompt_tokens + 10 * TOKENS_PER_EVENT * self.mean_events
        )


KINDS = (
    Kind("layout-quote", 6.9, 6_670, 64, 800, 15_000, 11.0, 3.2, 0),
    Kind("product-answer", 20.3, 688, 49, 400, 12_000, 1.7, 0.5, 1),
    Kind("chat-tag", 11.6, 1_860, 4, 400, 3_000, 0.5, 0.15, 2),
)
# Objective for the time between two events of an answer.
GAP_OBJECTIVE_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load over time, and the speeds and the crash of the engines."""

    name: str
    # Start in ms, end in ms, and the factor on the arrival rate in between.
    bursts: tuple[tuple[int, int, float], ...] = ()
    # Factor on the step time of each engine. The users' engines range from 0.55
    # to 2.8; these five together have the throughput of five engines of the
    # nominal speed.
    step_time_factors: tuple[float, ...] = (0.55, 0.8, 1.0, 1.4, 2.8)
    # Index of the engine that is down, and the start and the end in ms.
    crash: tuple[int, int, int] | None = None


PATTERNS = (
    Pattern("calm"),
    Pattern("bursts", ((3_000, 8_000, 1.8), (13_000, 15_500, 2.0))),
    Pattern("overload", ((0, DURATION_MS, 1.7),)),
    Pattern("crash", ((3_000, 8_000, 1.6),), crash=(0, 9_000, 13_000)),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Settings of the decision code that a replay compares.

    `constants` holds new values of its constants by module and name.
    """

    name: str
    constants: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    # Whether instances send each other what they have in flight at each target.
    exchanges_occupancy: bool = True
    digest_interval_ms: int = 50


POLICIES = (
    Policy("as-is"),
    Policy("own-use-only", exchanges_occupancy=False),
    Policy("wait-3-objectives", {("load.queueing", "WAIT_TIMEOUT_SHARE"): 3.0}),
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
    """Sets the constants of a policy and restores them on exit."""
    original_values = {}
    for (module_name, name), value in policy.constants.items():
        package = "peridotbend" if "." in module_name else "peridotbend.edge"
        module = importlib.import_module(f"{package}.{module_name}")
        original_values[module, name] = getattr(module, name)
        setattr(module, name, value)
    try:
        yield
    finally:
        for (module, name), value in original_values.items():
            setattr(module, name, value)
