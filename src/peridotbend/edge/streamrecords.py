"""The software versions at which streams began, as instances have seen them."""

import collections
import dataclasses
from collections.abc import Iterator

import xxhash

from peridotbend.domain.clock import Clock
from peridotbend.edge.callerlimits import CallerLimits
from peridotbend.edge.targets import EdgeTarget

# Bounds memory, at about 240 bytes each.
MAX_RECORDS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream whose first event passed through this instance."""

    attempt: str
    service: str
    # As listed for its target.
    software: str
    begun_at_ms: int
    # What sent the first event, and when the connection to it was established.
    target: EdgeTarget | None = None
    connected_at_ms: int = 0
    # Whether the version is known to be right, and whether nobody can know it.
    is_confirmed: bool = False
    is_uncertain: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ToldStream:
    """What another instance said of a stream."""

    # Empty if the instance that knows it can't tell the version, or if two
    # instances contradicted each other.
    software: str
    told_at_ms: int
    is_contradicted: bool = False


class StreamRecords:
    """The streams that may still go on: own ones, and those of others.

    Attempts of others are known by the hash of their ID alone.
    """

    def __init__(self, clock: Clock, limits: CallerLimits):
        self._clock = clock
        self._limits = limits
        # When the last one began, or was told, that had to give way to others.
        self._dropped_ms: int | None = None
        # By the hash of the attempt, the oldest first.
        self._begun: collections.OrderedDict[int, BegunStream] = (
            collections.OrderedDict()
        )
        self._told: collections.OrderedDict[int, _ToldStream] = (
            collections.OrderedDict()
        )
        # The software of the targets that were seen at work on attempts; empty
        # if that were two versions. Nothing rests on those that are missing.
        self._running: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def note_begun(
        self,
        attempt: str,
        service: str,
        software: str,
        target: EdgeTarget | None = None,
        connected_at_ms: int = 0,
    ) -> BegunStream:
        """Records an own stream that begins or goes on."""
        now_ms = self._clock.now_ms()
        stream = BegunStream(
            attempt, service, software, now_ms, target, connected_at_ms
        )
        key = hash_attempt(attempt)
        self._begun[key] = stream
        self._begun.move_to_end(key)
        while self._must_drop(len(self._begun), self._begun_since_ms):
            _, dropped = self._begun.popitem(last=False)
            self._note_dropped(dropped.begun_at_ms)
        return stream

    def note_told(self, key: int, software: str) -> None:
        """Records what another instance says of a stream.

        A version takes the place of a doubt, since it has been proven.
        """
        now_ms = self._clock.now_ms()
        known = self._told.get(key) or _ToldStream("", now_ms)
        is_contradicted = known.is_contradicted or bool(
            software and known.software and software != known.software
        )
        software = "" if is_contradicted else software or known.software
        self._told[key] = _ToldStream(software, now_ms, is_contradicted)
        self._told.move_to_end(key)
        while self._must_drop(len(self._told), self._told_since_ms):
            _, dropped = self._told.popitem(last=False)
            self._note_dropped(dropped.told_at_ms)

    def note_running(self, key: int, software: str) -> None:
        """Records that a target of a version has made events for an attempt."""
        known = self._running.get(key, software)
        self._running[key] = software if software == known else ""
        self._running.move_to_end(key)
        while len(self._running) > MAX_RECORDS:
            self._running.popitem(last=False)

    def find_running(self, key: int) -> str | None:
        """Returns the version of the targets that made events for an attempt.

        None if none was seen, or targets of two versions were.
        """
        return self._running.get(key) or None

    def lacks_recent(self) -> bool:
        """Tells whether a stream was forgotten that may still go on."""
        oldest_ms = self._clock.now_ms() - self._limits.kept_ms
        return self._dropped_ms is not None and self._dropped_ms >= oldest_ms

    def _must_drop(self, count: int, since_ms: int) -> bool:
        """Tells whether the oldest of some records is too old or too many."""
        oldest_ms = self._clock.now_ms() - self._limits.kept_ms
        return count > MAX_RECORDS or since_ms < oldest_ms

    @property
    def _begun_since_ms(self) -> int:
        return next(iter(self._begun.values())).begun_at_ms

    @property
    def _told_since_ms(self) -> int:
        return next(iter(self._told.values())).told_at_ms

    def _note_dropped(self, at_ms: int) -> None:
        self._dropped_ms = max(at_ms, self._dropped_ms or at_ms)

    def note_outcome(self, stream: BegunStream, is_right: bool) -> BegunStream:
        """Records whether the version of an own stream is right."""
        outcome = dataclasses.replace(
            stream, is_confirmed=is_right, is_uncertain=not is_right
        )
        key = hash_attempt(stream.attempt)
        if self._begun.get(key) is stream:
            self._begun[key] = outcome
        return outcome

    def find_begun(self, key: int) -> BegunStream | None:
        """Returns an own stream."""
        return self._begun.get(key)

    def is_uncertain(self, key: int) -> bool:
        """Tells whether a stream is known whose version nobody can tell."""
        begun = self._begun.get(key)
        if begun is not None:
            return begun.is_uncertain
        told = self._told.get(key)
        return told is not None and not told.software

    def find(self, key: int) -> str | None:
        """Returns the version of a stream; None if it is not certain.

        A target that was seen at work on it tells if no instance does.
        """
        begun = self._begun.get(key)
        if begun is not None:
            return None if begun.is_uncertain else begun.software
        told = self._told.get(key)
        if told is not None:
            return told.software or None
        return self.find_running(key)

    def list_begun(self, service: str, since_ms: int) -> Iterator[BegunStream]:
        """Yields the own streams of a service since a time, newest first."""
        for stream in reversed(self._begun.values()):
            if stream.begun_at_ms < since_ms:
                return
            if stream.service == service:
                yield stream


def hash_attempt(attempt: str) -> int:
    """Returns the 64-bit hash that stands for an attempt between instances."""
    return xxhash.xxh3_64_intdigest(attempt.encode())
