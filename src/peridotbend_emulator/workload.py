"""Workloads shaped like the two users, made from a seed."""

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
# Scheduling estimates prompts from characters; engines count real tokens.
PROMPT_ERROR = 0.15
BURST = (0.30, 0.40)
BURST_FACTOR = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Sizes of one kind of request; ranges are drawn log-uniformly."""

    kind: str
    # Part of the offered work.
    part: float
    prompt: tuple[int, int]
    output: tuple[int, int]
    # `max_tokens` as callers set it.
    output_limit: int
    accounts: tuple[str, ...]
    shared_prefixes: int = 0
    shared_tokens: int = 0
    # Arrivals end at this part of the run; overnight work comes early.
    arrives_until: float = 1.0
    # Replaces the deadline of the text; set where that is hours away.
    deadline_at_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """One user: its text, the speeds of its runners and its kinds."""

    name: str
    text_file: str
    speeds: tuple[float, ...]
    shapes: tuple[Shape, ...]
    # Indexes of the runners that fall behind and that are killed.
    straggler: int
    killed: int
    # Of the baselines: queue bound of a proxy and its slots for each target.
    proxy_queue: int
    proxy_slots: int


USERS = {
    "binh-minh": User(
        "binh-minh",
        "binh-minh.yaml",
        (2.0, 1.5, 1.0, 1.0, 0.5),
        (
            Shape(
                "layout-quote", 0.30, (1_500, 8_000), (80, 400), 1_024,
                ("web-shop", "showroom"), 4, 1_024,
            ),
            Shape(
                "product-answer", 0.50, (200, 1_500), (30, 200), 256,
                ("web-shop", "gym-chain"), 8, 192,
            ),
            Shape("chat-tag", 0.20, (40, 120), (2, 6), 256, ("gym-chain",)),
        ),
        straggler=2,
        killed=3,
        proxy_queue=64,
        proxy_slots=3,
    ),
    "kilifi": User(
        "kilifi",
        "kilifi.yaml",
        (2.0, 2.0, 1.5, 1.0, 1.0, 1.0, 0.75, 0.5, 0.5),
        (
            Shape(
                "quote", 0.25, (800, 4_000), (80, 300), 512,
                ("counter",), 4, 512,
            ),
            Shape(
                "parts-lookup", 0.25, (80, 400), (10, 60), 256,
                ("garages", "web-shop"),
            ),
            Shape(
                "restock-forecast", 0.50, (6_000, 16_000), (100, 400), 1_024,
                ("planning",), 8, 5_120, 0.5, DURATION_MS + DRAIN_MS,
            ),
        ),
        straggler=2,
        killed=3,
        proxy_queue=32,
        proxy_slots=2,
    ),
}  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """One request that a caller sends."""

    key: str
    kind: Kind
    account: str
    arrives_at_ms: int
    deadline_at_ms: int
    prompt_tokens: int
    output_tokens: int
    # What the scheduler is told.
    work: WorkEstimate
    shared_tokens: int
    # Engine time at speed 1 in a full batch.
    cost_ms: float


@functools.cache
def load_text(user: User) -> FleetConfig:
    """Returns the user's example text without limits on client accounts."""
    parsed = parse_text((EXAMPLES / user.text_file).read_text("utf-8"))
    text = parsed.unwrap()
    clients = tuple(
        dataclasses.replace(c, work_per_s=0, max_concurrent=0)
        for c in text.clients
    )
    # Application services take no part.
    services = tuple(s for s in text.services if s.name == "assistant")
    return dataclasses.replace(text, clients=clients, services=services)


def find_service(user: User) -> Service:
    """Returns the service that the runners of a user stand behind."""
    return load_text(user).services[0]


def find_cost_ms(prompt: int, output: int) -> float:
    """Returns the engine time of a request at speed 1 in a full batch."""
    engine = EngineSettings()
    step_part_ms = engine.step_ms / engine.max_batch
    context = prompt + output / 2
    token_ms = engine.decode_ms_per_request + step_part_ms
    token_ms += engine.decode_ms_per_context_token * context
    return prompt * engine.prefill_ms_per_token + output * token_ms


def make_offers(user: User, load: float, seed: int) -> list[Offer]:
    """Returns the requests of a run in order of arrival.

    `load` 1 offers the engine time that all runners have while requests
    arrive, without any reuse of cached prefixes.
    """
    offers: list[Offer] = []
    for index, shape in enumerate(user.shapes):
        rng = random.Random(f"{user.name}:{shape.kind}:{load}:{seed}")
        budget_ms = load * shape.part * sum(user.speeds) * DURATION_MS
        made = _make_kind(user, shape, rng, budget_ms, index)
        offers.extend(made)
    return sorted(offers, key=lambda offer: (offer.arrives_at_ms, offer.key))


def _make_kind(
    user: User,
    shape: Shape,
    rng: random.Random,
    budget_ms: float,
    index: int,
) -> Iterable[Offer]:
    kind = next(k for k in find_service(user).kinds if k.name == shape.kind)
    number = 0
    while budget_ms > 0:
        offer = _make_offer(shape, kind, rng, f"{index}-{number}")
        budget_ms -= offer.cost_ms
        number += 1
        yield offer


def _make_offer(
    shape: Shape, kind: Kind, rng: random.Random, key: str
) -> Offer:
    prompt = _draw_size(rng, shape.prompt)
    output = _draw_size(rng, shape.output)
    shared = min(shape.shared_tokens, prompt)
    error = rng.uniform(1 - PROMPT_ERROR, 1 + PROMPT_ERROR)
    prefix = rng.randrange(shape.shared_prefixes) if shared else 0
    hashes = _make_hashes(kind.name, prefix, shared, prompt, rng)
    arrives_at_ms = _draw_arrival(rng, shape)
    deadline = shape.deadline_at_ms
    if deadline is None:
        deadline = arrives_at_ms + kind.deadline_ms
    return Offer(
        key,
        kind,
        rng.choice(shape.accounts),
        arrives_at_ms,
        deadline,
        prompt,
        output,
        WorkEstimate(round(prompt * error), shape.output_limit, hashes),
        shared // BLOCK_TOKENS * BLOCK_TOKENS,
        find_cost_ms(prompt, output),
    )


def _draw_size(rng: random.Random, limits: Sequence[int]) -> int:
    low, high = limits
    return round(low * math.pow(high / low, rng.random()))


def _draw_arrival(rng: random.Random, shape: Shape) -> int:
    """Draws an arrival; during the burst they are denser."""
    start, end = BURST
    extra = (BURST_FACTOR - 1) * (end - start)
    point = rng.random() * (1 + extra)
    if point >= 1:
        point = start + (point - 1) / (BURST_FACTOR - 1)
    return int(point * shape.arrives_until * DURATION_MS)


def _make_hashes(
    kind: str, prefix: int, shared: int, prompt: int, rng: random.Random
) -> tuple[int, ...]:
    """Returns one hash per block; those of a shared prefix are alike."""
    common = random.Random(f"{kind}:{prefix}")
    blocks = shared // BLOCK_TOKENS
    hashes = [common.getrandbits(62) for _ in range(blocks)]
    rest = prompt // BLOCK_TOKENS - blocks
    return tuple(hashes + [rng.getrandbits(62) for _ in range(rest)])
