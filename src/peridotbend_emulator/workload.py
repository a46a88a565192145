"""Workloads like those of the two users, generated from a seed."""

import dataclasses
import functools
import math
import pathlib
import random
from collections.abc import Iterable, Sequence

from peridotbend.adapters.yamltext import parse_text
from peridotbend.domain.text import FleetConfig, Kind, Service
from peridotbend.domain.work import WorkEstimate
from peridotbend_emulator.enginemodel import BLOCK_TOKENS, EngineSettings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
DURATION_MS = 30_000
# Runs end this long after the last arrival, so that most deadlines pass.
DRAIN_MS = 20_000
# Largest relative error of the estimated prompt length: the scheduler estimates
# it from characters, engines count real tokens.
PROMPT_ERROR = 0.15
# Start and end of the burst, as parts of the run, and the factor on the arrival
# rate during it.
BURST_SPAN = (0.30, 0.40)
BURST_FACTOR = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class RequestShape:
    """Size ranges of one kind of request; sizes are drawn log-uniformly."""

    kind: str
    # Part of the engine time that all requests together need.
    work_part: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    # The `max_tokens` that callers send.
    max_tokens: int
    accounts: tuple[str, ...]
    # Number of different prefixes that prompts share, and tokens in each.
    prefix_count: int = 0
    shared_tokens: int = 0
    # Part of the run in which requests arrive; overnight work arrives early.
    arrives_until: float = 1.0
    # Replaces the deadline in the configuration text, where that one is hours
    # away.
    deadline_at_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """A user: its configuration text, its runners and its requests."""

    name: str
    text_file: str
    runner_speeds: tuple[float, ...]
    request_shapes: tuple[RequestShape, ...]
    # Indexes of the runner that is slowed down and of the one killed.
    straggler_index: int
    killed_index: int
    # Limits of the baselines: queued requests of a proxy, and its concurrent
    # requests per target.
    max_proxy_queue: int
    proxy_slots: int


USERS = {
    "binh-minh": User(
        "binh-minh",
        "binh-minh.yaml",
        (2.0, 1.5, 1.0, 1.0, 0.5),
        (
            RequestShape(
                "layout-quote", 0.30, (1_500, 8_000), (80, 400), 1_024,
                ("web-shop", "showroom"), 4, 1_024,
            ),
            RequestShape(
                "product-answer", 0.50, (200, 1_500), (30, 200), 256,
                ("web-shop", "gym-chain"), 8, 192,
            ),
            RequestShape(
                "chat-tag", 0.20, (40, 120), (2, 6), 256, ("gym-chain",),
            ),
        ),
        straggler_index=2,
        killed_index=3,
        max_proxy_queue=64,
        proxy_slots=3,
    ),
    "kilifi": User(
        "kilifi",
        "kilifi.yaml",
        (2.0, 2.0, 1.5, 1.0, 1.0, 1.0, 0.75, 0.5, 0.5),
        (
            RequestShape(
                "quote", 0.25, (800, 4_000), (80, 300), 512,
                ("counter",), 4, 512,
            ),
            RequestShape(
                "parts-lookup", 0.25, (80, 400), (10, 60), 256,
                ("garages", "web-shop"),
            ),
            RequestShape(
                "restock-forecast", 0.50, (6_000, 16_000), (100, 400), 1_024,
                ("planning",), 8, 5_120, 0.5, DURATION_MS + DRAIN_MS,
            ),
        ),
        straggler_index=2,
        killed_index=3,
        max_proxy_queue=32,
        proxy_slots=2,
    ),
}  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that a caller sends."""

    key: str
    kind: Kind
    account: str
    arrives_at_ms: int
    deadline_at_ms: int
    prompt_tokens: int
    output_tokens: int
    # The estimate that the scheduler works with.
    work_estimate: WorkEstimate
    shared_tokens: int
    # Engine time that the request needs at speed 1 in a full batch.
    cost_ms: float


@functools.cache
def load_fleet_text(user: User) -> FleetConfig:
    """Returns the user's example configuration.

    It has no limits on client accounts, and only the service of the runners.
    """
    parsed = parse_text((EXAMPLES / user.text_file).read_text("utf-8"))
    text = parsed.unwrap()
    clients = tuple(
        dataclasses.replace(c, work_per_s=0, max_concurrent=0)
        for c in text.clients
    )
    # Services of other applications are not part of the measurement.
    services = tuple(s for s in text.services if s.name == "assistant")
    return dataclasses.replace(text, clients=clients, services=services)


def find_service(user: User) -> Service:
    """Returns the service whose targets are the user's runners."""
    return load_fleet_text(user).services[0]


def find_cost_ms(prompt_tokens: int, output_tokens: int) -> float:
    """Returns the engine time of a request at speed 1 in a full batch."""
    engine = EngineSettings()
    step_part_ms = engine.step_ms / engine.max_batch
    context_tokens = prompt_tokens + output_tokens / 2
    token_ms = engine.decode_ms_per_request + step_part_ms
    token_ms += engine.decode_ms_per_context_token * context_tokens
    return (
        prompt_tokens * engine.prefill_ms_per_token + output_tokens * token_ms
    )


def make_requests(user: User, load: float, seed: int) -> list[Request]:
    """Returns the requests of a run in order of arrival.

    At `load` 1, the requests need as much engine time, without any reuse of
    cached prefixes, as all runners together have while requests arrive.
    """
    requests: list[Request] = []
    for index, shape in enumerate(user.request_shapes):
        rng = random.Random(f"{user.name}:{shape.kind}:{load}:{seed}")
        budget_ms = (
            load * shape.work_part * sum(user.runner_speeds) * DURATION_MS
        )
        kind_requests = _make_requests_of_kind(
            user, shape, rng, budget_ms, index
        )
        requests.extend(kind_requests)
    return sorted(
        requests, key=lambda request: (request.arrives_at_ms, request.key)
    )


def _make_requests_of_kind(
    user: User,
    shape: RequestShape,
    rng: random.Random,
    budget_ms: float,
    index: int,
) -> Iterable[Request]:
    kind = next(k for k in find_service(user).kinds if k.name == shape.kind)
    number = 0
    while budget_ms > 0:
        request = _make_request(shape, kind, rng, f"{index}-{number}")
        budget_ms -= request.cost_ms
        number += 1
        yield request


def _make_request(
    shape: RequestShape, kind: Kind, rng: random.Random, key: str
) -> Request:
    prompt_tokens = _draw_size(rng, shape.prompt_tokens)
    output_tokens = _draw_size(rng, shape.output_tokens)
    shared_tokens = min(shape.shared_tokens, prompt_tokens)
    estimate_factor = rng.uniform(1 - PROMPT_ERROR, 1 + PROMPT_ERROR)
    prefix_index = rng.randrange(shape.prefix_count) if shared_tokens else 0
    hashes = _make_hashes(
        kind.name, prefix_index, shared_tokens, prompt_tokens, rng
    )
    arrives_at_ms = _draw_arrival(rng, shape)
    deadline_at_ms = shape.deadline_at_ms
    if deadline_at_ms is None:
        deadline_at_ms = arrives_at_ms + kind.deadline_ms
    return Request(
        key,
        kind,
        rng.choice(shape.accounts),
        arrives_at_ms,
        deadline_at_ms,
        prompt_tokens,
        output_tokens,
        WorkEstimate(
            round(prompt_tokens * estimate_factor), shape.max_tokens, hashes
        ),
        shared_tokens // BLOCK_TOKENS * BLOCK_TOKENS,
        find_cost_ms(prompt_tokens, output_tokens),
    )


def _draw_size(rng: random.Random, limits: Sequence[int]) -> int:
    low, high = limits
    return round(low * math.pow(high / low, rng.random()))


def _draw_arrival(rng: random.Random, shape: RequestShape) -> int:
    """Draws an arrival time; during the burst more requests arrive."""
    start, end = BURST_SPAN
    extra_weight = (BURST_FACTOR - 1) * (end - start)
    position = rng.random() * (1 + extra_weight)
    if position >= 1:
        position = start + (position - 1) / (BURST_FACTOR - 1)
    return int(position * shape.arrives_until * DURATION_MS)


def _make_hashes(
    kind: str,
    prefix_index: int,
    shared_tokens: int,
    prompt_tokens: int,
    rng: random.Random,
) -> tuple[int, ...]:
    """Returns one hash per block, equal for blocks of the same prefix."""
    prefix_rng = random.Random(f"{kind}:{prefix_index}")
    shared_blocks = shared_tokens // BLOCK_TOKENS
    hashes = [prefix_rng.getrandbits(62) for _ in range(shared_blocks)]
    unshared_blocks = prompt_tokens // BLOCK_TOKENS - shared_blocks
    return tuple(hashes + [rng.getrandbits(62) for _ in range(unshared_blocks)])
