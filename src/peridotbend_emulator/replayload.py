"""Inputs of a replay: deployments, load patterns and policies."""

import contextlib
import dataclasses
import importlib
from collections.abc import Iterator, Mapping
from typing import Any

from peridotbend_emulator.replayengine import NOMINAL, EngineFigures

DURATION_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; the figures are from the users' data sheets.

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
    # Tokens that precede each prompt, and are not part of its mean.
    fixed_tokens: int = 0

    def find_mean_size(self, tokens_per_event: int) -> int:
        """Returns the mean size of a request, for which its value is stated.

        The size is the prompt tokens plus 10 times the output tokens.
        """
        prompt_tokens = self.fixed_tokens + self.mean_prompt_tokens
        return prompt_tokens + 10 * tokens_per_event * self.mean_events


KINDS = (
    Kind("layout-quote", 6.9, 6_670, 64, 800, 15_000, 11.0, 3.2, 0),
    Kind("product-answer", 20.3, 688, 49, 400, 12_000, 1.7, 0.5, 1),
    Kind("chat-tag", 11.6, 1_860, 4, 400, 3_000, 0.5, 0.15, 2),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What a replay emulates, besides the load over time."""

    kinds: tuple[Kind, ...] = KINDS
    instances: int = 8
    # Slots of each engine.
    slots: int = 11
    figures: EngineFigures = NOMINAL
    # Objective for the time between two events of an answer.
    gap_objective_ms: int = 400
    # Shape of the log-normal prompt lengths, and the longest one.
    prompt_sigma: float = 0.25
    max_prompt_tokens: int = 1_000_000
    # How often an instance learns of the others, and how old that is then.
    digest_interval_ms: int = 50
    digest_age_ms: int = 0


SMALL = Deployment()
# At the full rates, the emulated engines are overloaded without any burst.
RATE_SHARE = 0.6
COMPETING = Deployment(
    kinds=(
        Kind("digest", 70.8, 6_610, 55, 819, 15_354, 6.3, 1.9, 0, 60),
        Kind("chat", 49.1, 628, 42, 408, 12_232, 2.0, 0.61, 1, 60),
        Kind("tag", 107.0, 1_800, 3, 509, 3_056, 0.28, 0.08, 2, 60),
    ),
    instances=25,
    slots=9,
    figures=EngineFigures(3.74, 81.9, 7, max_waiting=2),
    gap_objective_ms=500,
    prompt_sigma=1.0,
    max_prompt_tokens=54_600,
    digest_interval_ms=100,
    digest_age_ms=50,
)
UNEVEN = dataclasses.replace(
    COMPETING,
    kinds=(
        Kind("summary", 56.0, 6_610, 55, 845, 15_850, 8.7, 2.5, 0, 60),
        Kind("question", 113.0, 628, 42, 419, 12_557, 1.8, 0.55, 1, 60),
        Kind("label", 90.4, 1_800, 3, 422, 3_167, 0.41, 0.12, 2, 60),
    ),
    instances=63,
    slots=10,
    figures=EngineFigures(3.88, 66.2, 7, max_waiting=2),
    gap_objective_ms=400,
)


SPEEDS = (0.55, 0.8, 1.0, 1.4, 2.8)


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load over time, and the speeds and the crash of the engines."""

    name: str
    # Start in ms, end in ms, and the factor on the arrival rate in between.
    bursts: tuple[tuple[int, int, float], ...] = ()
    # Factor on the step time of each engine. The users' engines range from 0.55
    # to 2.8; these five together have the throughput of five engines of the
    # nominal speed.
    step_time_factors: tuple[float, ...] = SPEEDS
    # Index of the engine that is down, and the start and the end in ms.
    crash: tuple[int, int, int] | None = None
    deployment: Deployment = SMALL
    # Factor on the rates of all requests.
    rate_share: float = 1.0
    # Kind whose rate alone is changed, start, end, and the factor.
    kind_burst: tuple[str, int, int, float] | None = None
    # Indexes of the engines that are slow, start, end, and the factor on their
    # step time.
    slow: tuple[tuple[int, ...], int, int, float] | None = None
    duration_ms: int = DURATION_MS


def _make_hard(name: str, deployment: Deployment, **fields: Any) -> Pattern:
    """Returns a pattern of 30 engines, which lasts 12 s."""
    return Pattern(
        name,
        step_time_factors=6 * SPEEDS,
        deployment=deployment,
        rate_share=RATE_SHARE,
        duration_ms=12_000,
        **fields,
    )


HARD_BURSTS = (
    (2_000, 4_000, 1.6),
    (5_500, 7_000, 2.4),
    (8_500, 9_500, 3.5),
)
PATTERNS = (
    Pattern("calm"),
    Pattern("bursts", ((3_000, 8_000, 1.8), (13_000, 15_500, 2.0))),
    Pattern("overload", ((0, DURATION_MS, 1.7),)),
    Pattern("crash", ((3_000, 8_000, 1.6),), crash=(0, 9_000, 13_000)),
    _make_hard("hard-calm", COMPETING),
    _make_hard("hard-bursts", COMPETING, bursts=HARD_BURSTS),
    _make_hard("one-kind", COMPETING, kind_burst=("tag", 2_000, 9_000, 3.0)),
    _make_hard("slow", COMPETING, slow=((1, 7, 12, 20), 3_000, 8_000, 4.0)),
    _make_hard("many", UNEVEN, bursts=HARD_BURSTS),
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
    # Whether they send each other the prompt tokens that are outstanding.
    exchanges_tokens: bool = True
    # Whether first events are predicted.
    predicts: bool = True


POLICIES = (
    Policy("as-is"),
    Policy("counts-only", predicts=False),
    Policy("own-tokens-only", exchanges_tokens=False),
    Policy("own-use-only", exchanges_occupancy=False),
    Policy("wait-3-objectives", {("load.queueing", "WAIT_TIMEOUT_SHARE"): 3.0}),
    Policy("pace-ignored", {("edge.health", "MAX_EVENT_INTERVAL_MS"): 0}),
    Policy(
        "fill-1.3",
        {
            ("edge.selection", "ENGINE_FILL"): 1.3,
            ("edge.selection", "TOP_RANK_FILL"): 1.45,
        },
    ),
)


@contextlib.contextmanager
def apply_policy(policy: Policy) -> Iterator[None]:
    """Sets the constants of a policy and restores them on exit."""
    original_values = {}
    for (module_name, name), value in policy.constants.items():
        module = importlib.import_module(f"peridotbend.{module_name}")
        original_values[module, name] = getattr(module, name)
        setattr(module, name, value)
    try:
        yield
    finally:
        for (module, name), value in original_values.items():
            setattr(module, name, value)
