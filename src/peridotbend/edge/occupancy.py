"""What all instances together have in flight at each target."""

from collections.abc import Callable, Iterable, Mapping

from peridotbend.domain.clock import Clock
from peridotbend.edge.hashes import hash_name
from peridotbend.edge.peers import PEER_TIMEOUT_MS


class Occupancy:
    """Counts what is in flight, own and as reported by other instances.

    Counts requests, or the tokens of their prompts.

    Reports are replaced as a whole, and the totals are updated by the
    difference, so that a count is one look-up whatever the size of the fleet.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._own: dict[str, int] = {}
        self._hashes: dict[str, int] = {}
        # Time and counts of the last report, by source; the oldest first.
        self._reports: dict[str, tuple[int, Mapping[int, int]]] = {}
        self._totals: dict[int, int] = {}
        # Called when an own request starts or ends.
        self.on_change: Callable[[], None] = lambda: None
        # The counts of a relay, which replace the reports while it is set.
        self._view: Mapping[int, int] | None = None
        # Changes with each report of other instances.
        self.reports_version = 0

    @property
    def own(self) -> Mapping[str, int]:
        """Requests of this instance in flight, by target."""
        return self._own

    def add(self, target: str, amount: int = 1) -> None:
        """Counts the start of a request at a target."""
        self._own[target] = self._own.get(target, 0) + amount
        self.on_change()

    def remove(self, target: str, amount: int = 1) -> None:
        """Counts the end of a request at a target."""
        left = self._own[target] - amount
        if left:
            self._own[target] = left
        else:
            del self._own[target]
        self.on_change()

    @property
    def has_reports(self) -> bool:
        """Whether counts of other instances are known."""
        self._drop_outdated()
        return bool(self._reports) or self._view is not None

    def set_own(self, name: str, count: int) -> None:
        """Replaces a count of this instance, which need not be a target's."""
        if not count:
            # It is also there for names that were only looked up.
            self._hashes.pop(name, None)
        if count == self._own.get(name, 0):
            return
        if count:
            self._own[name] = count
        else:
            del self._own[name]
        self.on_change()

    def record_peer(self, peer: str, use: Mapping[str, int]) -> None:
        """Replaces the requests in flight reported by a peer."""
        # Names are not kept: a peer may not know yet that a target is gone.
        counts = {
            self._hashes.get(name) or hash_name(name): count
            for name, count in use.items()
        }
        self.record_group(peer, counts)

    def record_group(self, source: str, counts: Mapping[int, int]) -> None:
        """Replaces the requests in flight reported by a source."""
        self.forget_peer(source)
        self.reports_version += 1
        self._reports[source] = self._clock.now_ms(), counts
        for target, count in counts.items():
            self._totals[target] = self._totals.get(target, 0) + count

    def forget_peer(self, source: str) -> None:
        """Drops the requests in flight reported by a source."""
        _, counts = self._reports.pop(source, (0, {}))
        for target, count in counts.items():
            left = self._totals[target] - count
            if left:
                self._totals[target] = left
            else:
                del self._totals[target]

    def set_view(self, counts: Mapping[int, int] | None) -> None:
        """Sets the counts of all other instances, or None to use reports."""
        self._view = counts
        self.reports_version += 1

    def count(self, target: str) -> int:
        """Returns the requests in flight at a target."""
        self._drop_outdated()
        others = self._totals if self._view is None else self._view
        if not others:
            return self._own.get(target, 0)
        count = others.get(self.find_hash(target), 0)
        return self._own.get(target, 0) + max(0, count)

    def count_each(self, targets: Iterable[str]) -> list[int]:
        """Returns what is in flight at each of some targets."""
        self._drop_outdated()
        others = self._totals if self._view is None else self._view
        own, find_hash = self._own, self.find_hash
        if not others:
            return [own.get(target, 0) for target in targets]
        return [
            own.get(target, 0) + max(0, others.get(find_hash(target), 0))
            for target in targets
        ]

    def list_totals(self) -> dict[int, int]:
        """Returns the requests of all instances in flight, by target hash."""
        self._drop_outdated()
        others = self._totals if self._view is None else self._view
        return self._add_own({t: n for t, n in others.items() if n > 0})

    def list_sum(self, sources: set[str]) -> dict[int, int]:
        """Returns the sum of own requests and of the reports of sources."""
        self._drop_outdated()
        totals: dict[int, int] = {}
        for source, (_, counts) in self._reports.items():
            if source in sources:
                for target, count in counts.items():
                    totals[target] = totals.get(target, 0) + count
        return self._add_own(totals)

    def find_hash(self, target: str) -> int:
        """Returns the hash that stands for a target in digests."""
        found = self._hashes.get(target)
        if found is None:
            found = self._hashes[target] = hash_name(target)
        return found

    def forget_target(self, target: str) -> None:
        """Drops what is kept about a removed target."""
        self._hashes.pop(target, None)

    def _add_own(self, totals: dict[int, int]) -> dict[int, int]:
        for name, count in self._own.items():
            target = self.find_hash(name)
            totals[target] = totals.get(target, 0) + count
        return totals

    def _drop_outdated(self) -> None:
        oldest_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        while self._reports:
            source = next(iter(self._reports))
            if self._reports[source][0] >= oldest_ms:
                return
            self.forget_peer(source)
