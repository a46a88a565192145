"""Tracks which request fingerprints are running on which target."""

import dataclasses
from collections import defaultdict


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The requests that were in flight on a target when it crashed."""

    fingerprints: frozenset[bytes]
    # Fingerprint of the request that ran on trial there, if any.
    on_trial: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    fingerprint: bytes
    on_trial: bool
    # Position in the order of all dispatches.
    number: int


class InFlightTable:
    """Requests between their dispatch and their verdict, by target."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[str, _Running]] = defaultdict(dict)
        # Number of dispatches so far.
        self.dispatches = 0

    def begin(
        self, target: str, key: str, fingerprint: bytes, on_trial: bool
    ) -> None:
        """Adds a request that was dispatched."""
        self.dispatches += 1
        self._by_target[target][key] = _Running(
            fingerprint, on_trial, self.dispatches
        )

    def end(self, target: str, key: str) -> None:
        """Removes a request that has its verdict."""
        running = self._by_target.get(target)
        if running is not None:
            running.pop(key, None)
            if not running:
                del self._by_target[target]

    def take_crashed(
        self, target: str, key: str, dispatches: int
    ) -> Crash | None:
        """Returns and removes the requests of a target that crashed.

        Each of these requests detects the crash and calls this method. Only
        the first call returns the crash; the others return None.

        Args:
            target: name of the target.
            key: of the request that reports the crash.
            dispatches: number of dispatches at the time of the crash. Later
                requests were sent to another process of the target.
        """
        running = self._by_target.get(target)
        if running is None or key not in running:
            return None
        crashed = {k: r for k, r in running.items() if r.number <= dispatches}
        for crashed_key in crashed:
            self.end(target, crashed_key)
        trials = [r.fingerprint for r in crashed.values() if r.on_trial]
        return Crash(
            frozenset(r.fingerprint for r in crashed.values()),
            trials[0] if trials else None,
        )

    def count(self) -> dict[str, int]:
        """Returns the number of running requests by target."""
        return {name: len(items) for name, items in self._by_target.items()}
