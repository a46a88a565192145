"""Rates of targets that hold in sum over all instances.

A few instances, chosen by rendezvous hashing, may send to a target with a
bounded rate, and each has an equal part. The sum holds without counts from
other instances, which would be late by more than the time between two requests.
"""

import dataclasses
from collections.abc import Callable, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.rendezvous import find_place

# Interval at which the other instances are listed again.
HOSTS_INTERVAL_MS = 500
# Bounds memory: a target that nobody asked about for this time is forgotten.
UNUSED_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """How many instances may send to a target, and how much each."""

    senders: int
    # Requests a second of one sender. It saves up one request at most, so that
    # two are never closer to each other than this rate says.
    part_per_s: float


@dataclasses.dataclass(slots=True)
class _Share:
    # Rate or bound of the target that was divided.
    whole: float
    # Requests that this instance may send now, at most 1.
    level: float
    refilled_at_ms: int
    # Requests a second that this instance may send; 0 if it is no sender.
    part_per_s: float = 0.0
    # Version of the list of hosts for which the part was found.
    hosts_version: int = 0


class RateShares:
    """The parts that this instance has of the rates of targets."""

    def __init__(
        self,
        clock: Clock,
        own_host: str,
        list_other_hosts: Callable[[], Iterable[str]],
        divide: Callable[[float, int], Division],
    ):
        """Creates the shares, of which there are none yet.

        Args:
            clock: source of time.
            own_host: the host of this instance.
            list_other_hosts: lists the instances that have a part as well.
            divide: divides the rate of a target among a number of instances.
        """
        self._clock = clock
        self._own_host = own_host.encode()
        self._list_other_hosts = list_other_hosts
        self._divide = divide
        # By the hash of the target's run.
        self._shares: dict[int, _Share] = {}
        # The names of the other instances.
        self._hosts: list[bytes] = []
        self._hosts_version = 0
        self._hosts_listed_at_ms = 0
        self._pruned_at_ms = clock.now_ms()

    def has_room(self, target: int, whole: float) -> bool:
        """Tells whether this instance may send a request to a target now.

        Args:
            target: the hash of the target's run.
            whole: the rate or bound of the target, over all instances.
        """
        now_ms = self._clock.now_ms()
        self._refresh_hosts(now_ms)
        share = self._shares.get(target)
        if share is None:
            share = self._shares[target] = _Share(whole, 0.0, now_ms)
            place, division = self._find_part(target, share)
            if place < division.senders:
                # The senders begin one after the other.
                share.level = place / division.senders
        passed_ms = now_ms - share.refilled_at_ms
        share.refilled_at_ms = now_ms
        gained = share.part_per_s * passed_ms / 1_000
        share.level = min(1.0, share.level + gained)
        if share.hosts_version != self._hosts_version or share.whole != whole:
            share.whole = whole
            self._find_part(target, share)
        return share.part_per_s > 0 and share.level >= 1

    def take(self, target: int) -> None:
        """Counts a request that this instance sends to a target."""
        share = self._shares.get(target)
        if share is not None:
            share.level -= 1

    def forget(self, target: int) -> None:
        """Removes a target whose rate is not bounded any more."""
        self._shares.pop(target, None)

    def find_part(self, target: int) -> float | None:
        """Returns the requests a second of this instance, None if unknown."""
        share = self._shares.get(target)
        return share.part_per_s if share else None

    def _refresh_hosts(self, now_ms: int) -> None:
        is_recent = now_ms - self._hosts_listed_at_ms < HOSTS_INTERVAL_MS
        if self._hosts_version and is_recent:
            return
        self._hosts_listed_at_ms = now_ms
        self._prune(now_ms)
        hosts = sorted(host.encode() for host in self._list_other_hosts())
        if hosts != self._hosts or not self._hosts_version:
            self._hosts = hosts
            self._hosts_version += 1

    def _prune(self, now_ms: int) -> None:
        if now_ms - self._pruned_at_ms < UNUSED_MS:
            return
        oldest_ms = self._pruned_at_ms
        self._pruned_at_ms = now_ms
        self._shares = {
            target: share
            for target, share in self._shares.items()
            if share.refilled_at_ms >= oldest_ms
        }

    def _find_part(self, target: int, share: _Share) -> tuple[int, Division]:
        division = self._divide(share.whole, 1 + len(self._hosts))
        key = target.to_bytes(8, "big")
        place = find_place(key, self._own_host, self._hosts, division.senders)
        share.part_per_s = 0.0
        if place < division.senders:
            share.part_per_s = division.part_per_s
        share.hosts_version = self._hosts_version
        return place, division
