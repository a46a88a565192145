"""Arithmetic of a model engine: batching, prefix cache and load reports.

It knows no network and does not sleep: the caller runs one step at a time and
moves its clock by the time that the step took.
"""

import collections
import dataclasses
import enum
from collections.abc import Sequence

from peridotbend.domain.clock import Clock

# Prompt tokens covered by one prefix hash: 256 characters of 4 to a token.
BLOCK_TOKENS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Costs and bounds of an engine; times are at speed 1."""

    max_batch: int = 16
    # Most prompt tokens that one step processes, over all requests.
    step_prefill_tokens: int = 2048
    step_ms: float = 5.0
    prefill_ms_per_token: float = 0.05
    decode_ms_per_request: float = 0.4
    # Attention reads the whole context of each decoding request.
    decode_ms_per_context_token: float = 0.0004
    cache_blocks: int = 4096
    # 2 is twice as fast.
    speed: float = 1.0
    load_lag_ms: int = 500


class EventKind(enum.Enum):
    """What happened to a request in a step."""

    FIRST_TOKEN = "first-token"
    TOKEN = "token"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEvent:
    """An event of one request; `FINISHED` follows its last token."""

    kind: EventKind
    request_id: str
    # Prompt tokens that were computed for the request so far.
    prefill_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """The time that a step took and the events at its end."""

    elapsed_ms: float
    events: tuple[EngineEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The load of the engine at one moment."""

    at_ms: int
    running: int
    waiting_tokens: int


@dataclasses.dataclass(slots=True)
class PrefillStats:
    """Counts of prompt tokens."""

    computed: int = 0
    reused: int = 0
    thrown_away: int = 0


class PrefixCache:
    """Bounded LRU set of prefix hashes."""

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, hashes: Sequence[int]) -> int:
        """Returns how many leading blocks are cached, and renews them."""
        count = 0
        while count < len(hashes) and hashes[count] in self._blocks:
            count += 1
        self._renew(hashes[:count])
        return count

    def insert(self, hashes: Sequence[int]) -> None:
        """Caches the blocks of a prompt and evicts the oldest others."""
        self._renew(hashes)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def _renew(self, hashes: Sequence[int]) -> None:
        # The tail is renewed first, so it is evicted before the head that
        # it is useless without.
        for value in reversed(hashes):
            self._blocks[value] = None
            self._blocks.move_to_end(value)


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    request_id: str
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    output_tokens: int
    reused_tokens: int = 0
    computed_tokens: int = 0
    produced_tokens: int = 0

    @property
    def missing_tokens(self) -> int:
        return self.prompt_tokens - self.reused_tokens - self.computed_tokens

    @property
    def context_tokens(self) -> int:
        return self.prompt_tokens + self.produced_tokens


class EngineModel:
    """An engine with continuous batching and first-come admission."""

    def __init__(self, settings: EngineSettings, clock: Clock):
        self._settings = settings
        self._clock = clock
        self._waiting: collections.deque[_Request] = collections.deque()
        self._batch: list[_Request] = []
        self._cache = PrefixCache(settings.cache_blocks)
        self._samples: collections.deque[LoadSample] = collections.deque()
        self.stats = PrefillStats()
        self._record_load()

    @property
    def is_idle(self) -> bool:
        """True when a step would do nothing."""
        return not self._waiting and not self._batch

    def submit(
        self,
        request_id: str,
        prompt_tokens: int,
        prefix_hashes: Sequence[int],
        output_tokens: int,
    ) -> None:
        """Puts a request at the end of the waiting line."""
        request = _Request(
            request_id,
            max(1, prompt_tokens),
            tuple(prefix_hashes),
            max(1, output_tokens),
        )
        self._waiting.append(request)
        self._record_load()

    def cancel(self, request_id: str) -> bool:
        """Drops an unfinished request; its prefill is thrown away."""
        for line in (self._waiting, self._batch):
            for request in line:
                if request.request_id == request_id:
                    line.remove(request)
                    self.count_thrown_away(request.computed_tokens)
                    self._record_load()
                    return True
        return False

    def count_thrown_away(self, prefill_tokens: int) -> None:
        """Counts prefill of a request whose answer nobody received."""
        self.stats.thrown_away += prefill_tokens

    def set_speed(self, speed: float) -> None:
        """Changes the speed factor from the next step on."""
        self._settings = dataclasses.replace(self._settings, speed=speed)

    def step(self) -> StepResult:
        """Runs one step; its events hold once the elapsed time has passed."""
        self._admit()
        decoding = [r for r in self._batch if r.missing_tokens == 0]
        elapsed_ms = self._find_decode_ms(decoding)
        prefilled, prefill_tokens = self._prefill()
        if not decoding and not prefill_tokens:
            return StepResult(0.0)
        settings = self._settings
        elapsed_ms += settings.step_ms
        elapsed_ms += prefill_tokens * settings.prefill_ms_per_token
        events: list[EngineEvent] = []
        for request in decoding + prefilled:
            self._produce(request, events)
        self._record_load()
        return StepResult(elapsed_ms / settings.speed, tuple(events))

    def load(self) -> LoadSample:
        """Returns the load as it was one lag ago."""
        self._forget_samples()
        return self._samples[0]

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self._settings.max_batch:
            request = self._waiting.popleft()
            cached = self._cache.match(request.prefix_hashes) * BLOCK_TOKENS
            # The last prompt token is always computed: it yields the output.
            request.reused_tokens = min(cached, request.prompt_tokens - 1)
            self.stats.reused += request.reused_tokens
            self._batch.append(request)

    def _find_decode_ms(self, decoding: list[_Request]) -> float:
        settings = self._settings
        context = sum(r.context_tokens for r in decoding)
        return (
            len(decoding) * settings.decode_ms_per_request
            + context * settings.decode_ms_per_context_token
        )

    def _prefill(self) -> tuple[list[_Request], int]:
        """Processes prompts in order; returns those that are now complete."""
        left = self._settings.step_prefill_tokens
        complete = []
        for request in self._batch:
            if request.missing_tokens == 0 or left == 0:
                continue
            taken = min(left, request.missing_tokens)
            left -= taken
            request.computed_tokens += taken
            self.stats.computed += taken
            if request.missing_tokens == 0:
                self._cache.insert(request.prefix_hashes)
                complete.append(request)
        return complete, self._settings.step_prefill_tokens - left

    def _produce(self, request: _Request, events: list[EngineEvent]) -> None:
        is_first = request.produced_tokens == 0
        request.produced_tokens += 1
        kinds = [EventKind.FIRST_TOKEN if is_first else EventKind.TOKEN]
        if request.produced_tokens == request.output_tokens:
            kinds.append(EventKind.FINISHED)
            self._batch.remove(request)
        for kind in kinds:
            events.append(
                EngineEvent(kind, request.request_id, request.computed_tokens)
            )

    def _record_load(self) -> None:
        now_ms = self._clock.now_ms()
        waiting = sum(r.prompt_tokens for r in self._waiting)
        waiting += sum(r.missing_tokens for r in self._batch)
        if self._samples and self._samples[-1].at_ms == now_ms:
            self._samples.pop()
        self._samples.append(LoadSample(now_ms, len(self._batch), waiting))
        self._forget_samples()

    def _forget_samples(self) -> None:
        """Drops samples that a later one, also older than the lag, replaces."""
        newest_ms = self._clock.now_ms() - self._settings.load_lag_ms
        while len(self._samples) > 1 and self._samples[1].at_ms <= newest_ms:
            self._samples.popleft()
