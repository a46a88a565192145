"""What instances tell each other of the versions at which streams began."""

import dataclasses
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Protocol

import anyio

from peridotbend.edge.streamrecords import (
    BegunStream,
    StreamRecords,
    hash_attempt,
)

# How long a caller that takes up a stream waits for the other instances. They
# answer within milliseconds, also in another zone.
ANSWER_TIMEOUT_S = 0.25
# Datagrams are lost occasionally, so a question is repeated.
REPEAT_INTERVAL_S = 0.08
# Instances that are told of each stream in doubt. One may be killed together
# with the instance that tells them.
HOLDERS = 2
# Entries of one datagram, so that it is not fragmented.
MAX_ASKED = 128
MAX_TOLD = 16
MAX_VERSION_CHARS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class OriginNotice:
    """The content of a datagram; attempts are named by their hash."""

    # Streams that the sender wants to know about.
    asked: tuple[int, ...] = ()
    # The versions at which streams began; empty if nobody can tell.
    told: Mapping[int, str] = dataclasses.field(default_factory=dict)
    # Streams that the receiver asked about and the sender does not know.
    unknown: tuple[int, ...] = ()


class OriginMembers(Protocol):
    """The other instances."""

    def list_hosts(self) -> list[str]:
        """Returns all known hosts."""
        ...

    def list_live_hosts(self) -> list[str]:
        """Returns the hosts of instances that were heard of just now."""
        ...

    def list_recent_hosts(self) -> list[str]:
        """Returns the hosts of instances that may serve callers now."""
        ...

    def find_zone(self, host: str) -> str:
        """Returns the zone of a host, or an empty string."""
        ...

    def is_known(self, host: str) -> bool:
        """Tells whether a host is that of an instance."""
        ...


class _Question:
    """A question that is under way to the other instances."""

    def __init__(self, hosts: Iterable[str]):
        self.unanswered = set(hosts)
        self.done = anyio.Event()


class OriginPeers:
    """Asks the other instances, and tells them what they could not compute."""

    def __init__(
        self,
        zone: str,
        members: OriginMembers,
        records: StreamRecords,
        rng: random.Random,
    ):
        self._zone = zone
        self._members = members
        self._records = records
        self._rng = rng
        self._questions: dict[int, _Question] = {}
        # Notices that are due.
        self._asked: set[int] = set()
        # Those that are told of the streams that are due.
        self._holders: list[str] = []
        self._told: dict[str, dict[int, str]] = {}
        # Called when notices are due.
        self.on_due: Callable[[], None] = lambda: None
        # Tells whether the version of an own stream is known to be right, and
        # has that found out.
        self.is_certain: Callable[[BegunStream], bool] = lambda stream: True
        self.confirm_later: Callable[[BegunStream], None] = lambda stream: None

    async def ask(self, attempt: str, is_repeated: bool = False) -> str | None:
        """Returns the version at which a stream began; None if nobody knows.

        Args:
            attempt: that began it.
            is_repeated: whether a doubt that others told may be over.
        """
        key = hash_attempt(attempt)
        if is_repeated or not self._is_told(key):
            await self._ask(key)
        return self._records.find(key)

    async def ask_live(self, attempt: str, limit_ms: int) -> bool:
        """Asks until each live instance has answered, or one knows.

        The one that began a stream answers once it has asked its target.

        Args:
            attempt: that began the stream.
            limit_ms: the longest wait.

        Returns:
            whether that was so in time.
        """
        key = hash_attempt(attempt)
        with anyio.move_on_after(limit_ms / 1_000):
            while not self._is_told(key):
                unanswered = await self._ask(key)
                if unanswered.isdisjoint(self._members.list_live_hosts()):
                    return True
        return self._is_told(key)

    def _is_told(self, key: int) -> bool:
        return self._records.find(
            key
        ) is not None or self._records.is_uncertain(key)

    async def _ask(self, key: int) -> set[str]:
        """Asks all instances; returns those that have not answered."""
        question = self._questions.get(key)
        if question is None:
            question = _Question(self._members.list_hosts())
            if not question.unanswered:
                return set()
            self._questions[key] = question
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                while not question.done.is_set():
                    self._asked.add(key)
                    self.on_due()
                    with anyio.move_on_after(REPEAT_INTERVAL_S):
                        await question.done.wait()
        finally:
            self._questions.pop(key, None)
        return question.unanswered

    def tell(self, stream: BegunStream) -> None:
        """Tells other instances of an own stream.

        They are in other zones as far as possible, since zones fail as a whole.
        """
        if len(stream.software) > MAX_VERSION_CHARS:
            return
        hosts = self._members.list_recent_hosts()
        if not self._holders:
            self._rng.shuffle(hosts)
            hosts.sort(key=lambda h: self._members.find_zone(h) == self._zone)
            # Streams that are told together share their datagrams.
            self._holders = hosts[:HOLDERS]
        key = hash_attempt(stream.attempt)
        # All may be asked to continue a stream that nobody can place.
        holders = hosts if stream.is_uncertain else self._holders
        software = "" if stream.is_uncertain else stream.software
        for host in holders:
            self._told.setdefault(host, {})[key] = software
        self.on_due()

    def collect(self) -> Iterator[tuple[OriginNotice, list[str]]]:
        """Yields the notices that are due, each with its receivers."""
        asked, self._asked = sorted(self._asked), set()
        hosts = self._members.list_hosts()
        for start in range(0, len(asked), MAX_ASKED):
            part = tuple(asked[start : start + MAX_ASKED])
            yield OriginNotice(asked=part), hosts
        told_by_host, self._told = self._told, {}
        self._holders = []
        for host, told in told_by_host.items():
            for notice in _divide(told):
                yield notice, [host]

    def receive(self, host: str, notice: OriginNotice) -> list[OriginNotice]:
        """Applies a notice; returns the answers to its sender."""
        if not self._members.is_known(host):
            return []
        for key, software in notice.told.items():
            self._records.note_told(key, software)
            self._end_question(key)
        for key in notice.unknown:
            question = self._questions.get(key)
            if question is not None:
                question.unanswered.discard(host)
                if not question.unanswered:
                    self._end_question(key)
        asked = [key for key in notice.asked if self._is_settled(key)]
        found = {key: self._records.find(key) for key in asked}
        known = {
            key: version or ""
            for key, version in found.items()
            if version is not None or self._records.is_uncertain(key)
        }
        unknown = tuple(key for key in found if key not in known)
        if self._records.lacks_recent():
            # It may be one of those that were forgotten.
            unknown = ()
        answers = [OriginNotice(unknown=unknown)] if unknown else []
        return answers + list(_divide(known))

    def _is_settled(self, key: int) -> bool:
        """Tells whether a question can be answered now.

        If not, whoever asks repeats it while the answer is found out.
        """
        begun = self._records.find_begun(key)
        if begun is None:
            return True
        # A recorded doubt is over once the version is certain.
        is_recorded = begun.is_uncertain is not self.is_certain(begun)
        if is_recorded:
            return True
        self.confirm_later(begun)
        return False

    def _end_question(self, key: int) -> None:
        question = self._questions.pop(key, None)
        if question is not None:
            question.done.set()


def _divide(told: Mapping[int, str]) -> Iterator[OriginNotice]:
    """Divides what is told into notices that fit into a datagram."""
    entries = list(told.items())
    for start in range(0, len(entries), MAX_TOLD):
        yield OriginNotice(told=dict(entries[start : start + MAX_TOLD]))
