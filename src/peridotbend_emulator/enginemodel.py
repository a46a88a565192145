"""Simulation of a model engine: batching, prefix cache and load reports.

It does no I/O and does not sleep: the caller runs one step at a time and lets
its clock advance by the time that the step took.
"""

import collections
import dataclasses
import enum
from collections.abc import Sequence

from peridotbend.domain.clock import Clock

# Prompt tokens covered by one prefix hash: 256 characters, 4 per token.
BLOCK_TOKENS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Costs and limits of an engine; times are at speed 1."""

    max_batch: int = 16
    # Limit on the prompt tokens of one step, over all requests.
    step_prefill_tokens: int = 2048
    step_ms: float = 5.0
    prefill_ms_per_token: float = 0.05
    decode_ms_per_request: float = 0.4
    # Attention reads the whole context of each request that decodes.
    decode_ms_per_context_token: float = 0.0004
    cache_blocks: int = 4096
    # Divides all times: 2 is twice as fast.
    speed: float = 1.0
    # Age of the load that the engine reports.
    load_lag_ms: int = 500


class EventKind(enum.Enum):
    """What a step did for a request."""

    FIRST_TOKEN = "first-token"
    TOKEN = "token"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEvent:
    """An event of one request; `FINISHED` follows its last token."""

    kind: EventKind
    request_id: str
    # Prompt tokens computed for the request so far.
    prefill_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """The time that a step took and the events at its end."""

    elapsed_ms: float
    events: tuple[EngineEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The load of the engine at one time."""

    at_ms: int
    running: int
    waiting_tokens: int


@dataclasses.dataclass(slots=True)
class PrefillStats:
    """Numbers of prompt tokens.

    `wasted` counts computed tokens of requests whose answer was not received.
    """

    computed: int = 0
    reused: int = 0
    wasted: int = 0


class PrefixCache:
    """LRU set of prefix hashes, bounded in size."""

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match(self, hashes: Sequence[int]) -> int:
        """Returns how many leading blocks are cached; marks them as used."""
        count = 0
        while count < len(hashes) and hashes[count] in self._blocks:
            count += 1
        self._mark_used(hashes[:count])
        return count

    def insert(self, hashes: Sequence[int]) -> None:
        """Caches the blocks of a prompt and evicts the least recently used."""
        self._mark_used(hashes)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def _mark_used(self, hashes: Sequence[int]) -> None:
        # A block is useless without those before it. Blocks are marked last to
        # first, so that the last ones are evicted first.
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
    def uncomputed_tokens(self) -> int:
        return self.prompt_tokens - self.reused_tokens - self.computed_tokens

    @property
    def context_tokens(self) -> int:
        return self.prompt_tokens + self.produced_tokens


class EngineModel:
    """An engine with continuous batching; it admits in order of arrival."""

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
        """True if a step would do nothing."""
        return not self._waiting and not self._batch

    def submit(
        self,
        request_id: str,
        prompt_tokens: int,
        prefix_hashes: Sequence[int],
        output_tokens: int,
    ) -> None:
        """Appends a request to the queue."""
        request = _Request(
            request_id,
            max(1, prompt_tokens),
            tuple(prefix_hashes),
            max(1, output_tokens),
        )
        self._waiting.append(request)
        self._record_load()

    def cancel(self, request_id: str) -> bool:
        """Drops an unfinished request; its prefill counts as wasted.

        Returns False if the engine has no such request.
        """
        for queue in (self._waiting, self._batch):
            for request in queue:
                if request.request_id == request_id:
                    queue.remove(request)
                    self.count_wasted(request.computed_tokens)
                    self._record_load()
                    return True
        return False

    def count_wasted(self, prefill_tokens: int) -> None:
        """Counts prefill tokens of a request whose answer was not received."""
        self.stats.wasted += prefill_tokens

    def set_speed(self, speed: float) -> None:
        """Sets the speed factor, from the next step on."""
        self._settings = dataclasses.replace(self._settings, speed=speed)

    def step(self) -> StepResult:
        """Runs one step; its events take effect after its elapsed time."""
        self._admit()
        decoding = [r for r in self._batch if r.uncomputed_tokens == 0]
        elapsed_ms = self._find_decode_ms(decoding)
        prefilled, prefill_tokens = self._prefill()
        if not decoding and not prefill_tokens:
            return StepResult(0.0)
        settings = self._settings
        elapsed_ms += settings.step_ms
        elapsed_ms += prefill_tokens * settings.prefill_ms_per_token
        events: list[EngineEvent] = []
        for request in decoding + prefilled:
            self._produce_token(request, events)
        self._record_load()
        return StepResult(elapsed_ms / settings.speed, tuple(events))

    def load(self) -> LoadSample:
        """Returns the load of `load_lag_ms` ago."""
        self._drop_old_samples()
        return self._samples[0]

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self._settings.max_batch:
            request = self._waiting.popleft()
            cached = self._cache.match(request.prefix_hashes) * BLOCK_TOKENS
            # The last prompt token is always computed: the first output token
            # needs it.
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
        """Processes prompts in order of admission.

        Returns the requests whose prompt is now complete, and the number of
        tokens that were processed.
        """
        remaining = self._settings.step_prefill_tokens
        complete = []
        for request in self._batch:
            if request.uncomputed_tokens == 0 or remaining == 0:
                continue
            processed = min(remaining, request.uncomputed_tokens)
            remaining -= processed
            request.computed_tokens += processed
            self.stats.computed += processed
            if request.uncomputed_tokens == 0:
                self._cache.insert(request.prefix_hashes)
                complete.append(request)
        return complete, self._settings.step_prefill_tokens - remaining

    def _produce_token(
        self, request: _Request, events: list[EngineEvent]
    ) -> None:
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
        waiting += sum(r.uncomputed_tokens for r in self._batch)
        if self._samples and self._samples[-1].at_ms == now_ms:
            self._samples.pop()
        self._samples.append(LoadSample(now_ms, len(self._batch), waiting))
        self._drop_old_samples()

    def _drop_old_samples(self) -> None:
        """Drops samples before the latest one that is as old as the lag."""
        reported_at_ms = self._clock.now_ms() - self._settings.load_lag_ms
        while (
            len(self._samples) > 1 and self._samples[1].at_ms <= reported_at_ms
        ):
            self._samples.popleft()
