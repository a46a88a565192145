"""Outstanding prompt tokens of targets, and when a first event arrives.

Addresses prompts of very different size and engines of very different speed. A
target with few requests in flight may have minutes of prompts to read, and the
next one may read several times as fast.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from peridotbend.domain.clock import Clock
from peridotbend.load.config import Service

# Weight that a sample of a service keeps with each new one. Its line follows
# changes within some hundred first events.
FIT_RETENTION = 0.995
# Weight that a sample of a target keeps with each new one. One instance of
# many gets a first event of each target only every few seconds.
FACTOR_RETENTION = 0.9
# Samples that the pace of a target's streams counts for. It is known earlier
# than enough first events, and follows a slow phase within a second.
PRIOR_SAMPLES = 2.0
# Before that many first events of a service nothing is predicted.
MIN_SAMPLES = 3
# Long prompts deviate by more ms, so that they weigh less: a sample has the
# weight 1 / (its tokens + this).
LEVEL_TOKENS = 1_000.0
# Bounds the estimates of a target relative to those of its service. Engines
# differ by a factor of five, and slow phases add one of four.
MIN_FACTOR, MAX_FACTOR = 0.1, 20.0
# One stalled send does not make its target look worse than this.
MAX_SAMPLE_FACTOR = 8.0
# Callers may state more tokens than they send. No more count than are read at
# this multiple of the speed of the service, by which engines differ.
MAX_SPEED_FACTOR = 5.0


class TokenCounts(Protocol):
    """Outstanding prompt tokens by target, summed over all instances."""

    @property
    def own(self) -> Mapping[str, int]:
        """Tokens of this instance."""
        ...

    def add(self, target: str, amount: int) -> None:
        """Adds tokens of this instance."""
        ...

    def remove(self, target: str, amount: int) -> None:
        """Takes tokens of this instance back."""
        ...

    def count(self, target: str) -> int:
        """Returns the tokens at a target."""
        ...

    def count_each(self, targets: Iterable[str]) -> list[int]:
        """Returns the tokens at each of some targets."""
        ...

    def set_view(self, counts: Mapping[int, int]) -> None:
        """Sets the tokens of all other instances, by hash of the target."""
        ...

    def forget_target(self, target: str) -> None:
        """Drops what is kept about a removed target."""
        ...


@dataclasses.dataclass(eq=False, slots=True)
class WorkTicket:
    """The prompt of one send, outstanding until its first event."""

    target: str
    service: str
    prompt_tokens: int
    # Known prompt tokens outstanding at the target before this one.
    ahead_tokens: int
    started_at_ms: int
    # Time from the start to the first event; None if not predicted.
    predicted_ms: int | None
    is_outstanding: bool = True


class Estimate(NamedTuple):
    """When the first event of one more request would arrive, in ms."""

    # Prompt tokens that are read before.
    ahead_tokens: int
    # Time in which these and the own ones are read.
    reading_ms: float
    # Time to the first event.
    total_ms: float
    # The same if nothing was ahead.
    least_ms: float


@dataclasses.dataclass(slots=True)
class _Line:
    """The time to a first event as a line over the tokens to read.

    A weighted least-squares fit whose samples lose weight over time.
    """

    count: int = 0
    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    ms_per_token: float = 0.0
    base_ms: float = 0.0

    def add(self, tokens: float, took_ms: float) -> None:
        """Adds a sample and updates the line."""
        for name in ("weight", "x", "y", "xx", "xy"):
            setattr(self, name, FIT_RETENTION * getattr(self, name))
        weight = 1.0 / (tokens + LEVEL_TOKENS)
        self.count += 1
        self.weight += weight
        self.x += weight * tokens
        self.y += weight * took_ms
        self.xx += weight * tokens * tokens
        self.xy += weight * tokens * took_ms
        mean_x, mean_y = self.x / self.weight, self.y / self.weight
        through_origin = self.xy / self.xx if self.xx else 0.0
        # Samples of equal size give no slope of their own.
        ridge = 0.01 * self.xx
        variance = self.xx - self.x * mean_x
        covariance = self.xy - self.x * mean_y
        slope = (covariance + ridge * through_origin) / (variance + ridge or 1)
        self.ms_per_token = min(max(slope, 0.0), through_origin)
        self.base_ms = max(0.0, mean_y - self.ms_per_token * mean_x)

    def limit_tokens(self, tokens: int, took_ms: int) -> int:
        """Returns the tokens of a sample, or the most that count in its time.

        A single count far above the others would decide the slope alone.
        """
        if self.count < MIN_SAMPLES or not self.ms_per_token:
            return tokens
        most = MAX_SPEED_FACTOR * max(1, took_ms) / self.ms_per_token
        return min(tokens, math.ceil(most))

    @property
    def mean_ms(self) -> float:
        """Mean time to a first event."""
        return max(1.0, self.y / self.weight) if self.weight else 1.0

    def predict_ms(self, tokens: float) -> float:
        """Returns the time to a first event behind so many tokens."""
        return self.ms_per_token * tokens + self.base_ms


@dataclasses.dataclass(slots=True)
class _Record:
    """How a target compares with its service."""

    service: str
    took_ms: float = 0.0
    predicted_ms: float = 0.0

    def add(self, took_ms: float, predicted_ms: float) -> None:
        """Adds a sample."""
        took_ms = min(took_ms, MAX_SAMPLE_FACTOR * predicted_ms)
        self.took_ms = FACTOR_RETENTION * self.took_ms + took_ms
        self.predicted_ms = FACTOR_RETENTION * self.predicted_ms + predicted_ms

    def find_factor(self, prior_ms: float) -> float:
        """Returns the ratio of actual to predicted times.

        It is 1 for the time `prior_ms` that is added to both.
        """
        return (self.took_ms + prior_ms) / (self.predicted_ms + prior_ms)


class TargetWork:
    """Prompt tokens that targets have to read, and their learned speeds."""

    def __init__(
        self,
        clock: Clock,
        tokens: TokenCounts,
        find_pace_ms: Callable[[str], float] | None = None,
    ):
        """Creates the model, without any measurement.

        Args:
            clock: source of time.
            tokens: counts the outstanding tokens of all instances.
            find_pace_ms: returns the time between the stream events of a
                target, 0 if unknown.
        """
        self._clock = clock
        self._find_pace_ms = find_pace_ms or (lambda target: 0.0)
        self._tokens = tokens
        self._engines: frozenset[str] = frozenset()
        self._lines: dict[str, _Line] = {}
        self._records: dict[str, _Record] = {}
        # Mean time between stream events over the targets of each service.
        self._mean_paces: dict[str, float] = {}
        # Own outstanding prompts by target, the oldest first.
        self._tickets: dict[str, dict[WorkTicket, None]] = {}

    def apply_services(self, services: Iterable[Service]) -> None:
        """Sets the services whose targets are predicted."""
        self._engines = frozenset(s.name for s in services if s.has_engine)

    def covers(self, service: str) -> bool:
        """Tells whether the work at the targets of a service is counted."""
        return service in self._engines

    def start(
        self, target: str, prompt_tokens: int, service: str = ""
    ) -> WorkTicket:
        """Counts a prompt that is sent to a target."""
        prompt_tokens = max(1, prompt_tokens)
        predicted_ms = self.predict_first_event_ms(
            target, prompt_tokens, service
        )
        ticket = WorkTicket(
            target,
            service,
            prompt_tokens,
            self._tokens.count(target),
            self._clock.now_ms(),
            None if predicted_ms is None else round(predicted_ms),
        )
        self._tickets.setdefault(target, {})[ticket] = None
        self._tokens.add(target, prompt_tokens)
        return ticket

    def note_first_event(self, ticket: WorkTicket) -> None:
        """Records that the first event of a send arrived; learns from it."""
        if not ticket.is_outstanding:
            return
        self.end(ticket)
        tokens = ticket.ahead_tokens + ticket.prompt_tokens
        took_ms = self._clock.now_ms() - ticket.started_at_ms
        line = self._lines.setdefault(ticket.service, _Line())
        tokens = line.limit_tokens(tokens, took_ms)
        line.add(tokens, took_ms)
        record = self._records.setdefault(
            ticket.target, _Record(ticket.service)
        )
        pace = self._find_relative_pace(ticket.target, ticket.service)
        record.add(took_ms, pace * line.predict_ms(tokens))

    def end(self, ticket: WorkTicket) -> None:
        """Ends the count of a prompt; further calls have no effect."""
        if not ticket.is_outstanding:
            return
        ticket.is_outstanding = False
        tickets = self._tickets[ticket.target]
        del tickets[ticket]
        if not tickets:
            del self._tickets[ticket.target]
        self._tokens.remove(ticket.target, ticket.prompt_tokens)

    def list_own(self) -> Mapping[str, int]:
        """Returns the outstanding tokens of this instance, by target."""
        return self._tokens.own

    def record_others(self, tokens: Mapping[int, int]) -> None:
        """Sets the tokens of all other instances, by the hash of the target."""
        self._tokens.set_view(tokens)

    def predict_first_event_ms(
        self, target: str, prompt_tokens: int, service: str = ""
    ) -> float | None:
        """Returns the time to the first event of one more request in ms.

        None if no target of the service has been measured.
        """
        found = self.estimate(service, (target,), prompt_tokens)
        return found[target].total_ms if found else None

    def estimate(
        self, service: str, targets: Iterable[str], prompt_tokens: int
    ) -> dict[str, Estimate] | None:
        """Returns the estimates by target; None if none has been measured."""
        line = self._lines.get(service)
        if line is None or line.count < MIN_SAMPLES:
            return None
        targets = list(targets)
        paces = list(map(self._find_pace_ms, targets))
        known = [pace for pace in paces if pace]
        if len(known) > 1:
            self._mean_paces[service] = sum(known) / len(known)
        mean_pace = self._mean_paces.get(service, 0.0)
        prior_ms = PRIOR_SAMPLES * line.mean_ms
        aheads = self._tokens.count_each(targets)
        found = {}
        for target, pace, ahead in zip(targets, paces, aheads, strict=True):
            factor = pace / mean_pace if pace and mean_pace else 1.0
            record = self._records.get(target)
            if record is not None:
                factor *= record.find_factor(prior_ms)
            factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
            base_ms = factor * line.base_ms
            ms_per_token = factor * line.ms_per_token
            own_ms = ms_per_token * prompt_tokens
            reading_ms = ms_per_token * ahead + own_ms
            found[target] = Estimate(
                ahead, reading_ms, reading_ms + base_ms, own_ms + base_ms
            )
        return found

    def _find_factor(self, target: str, record: _Record) -> float:
        """Returns the times at a target relative to those of its service."""
        prior_ms = PRIOR_SAMPLES * self._lines[record.service].mean_ms
        factor = self._find_relative_pace(target, record.service)
        factor *= record.find_factor(prior_ms)
        return min(max(factor, MIN_FACTOR), MAX_FACTOR)

    def _find_relative_pace(self, target: str, service: str) -> float:
        """Returns how slow the streams of a target are, 1 if unknown."""
        mean_ms = self._mean_paces.get(service, 0.0)
        return (
            (self._find_pace_ms(target) or mean_ms) / mean_ms
            if mean_ms
            else 1.0
        )

    def forget(self, target: str) -> None:
        """Drops what is known of a target that restarted or was removed."""
        for ticket in list(self._tickets.get(target, ())):
            self.end(ticket)
        self._records.pop(target, None)
        self._tokens.forget_target(target)

    def dump(self) -> dict[str, object]:
        """Returns the state for the operator API."""
        names = {*self._records, *self._tokens.own}
        return {name: self._dump_target(name) for name in sorted(names)}

    def _dump_target(self, name: str) -> dict[str, object]:
        described: dict[str, object] = {
            "outstanding_tokens": self._tokens.count(name),
            "own_tokens": self._tokens.own.get(name, 0),
        }
        record = self._records.get(name)
        if record is not None:
            line = self._lines[record.service]
            factor = self._find_factor(name, record)
            ms_per_token = factor * line.ms_per_token
            described["tokens_per_ms"] = (
                round(1 / ms_per_token, 1) if ms_per_token else None
            )
            described["base_ms"] = round(factor * line.base_ms, 1)
        return described
