"""Tracks which request fingerprints are running on which target."""

import dataclasses
from collections import defaultdict


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The requests that were in flight on a target when it crashed."""

    fingerprints: frozenset[bytes]
    # Fingerprint of the request that ran on trial there, if any.
    on_trial: bytes | None


class InFlightTable:
    """Requests between their dispatch and their verdict, by target."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[str, tuple[bytes, bool]]] = defaultdict(
            dict
        )

    def begin(
        self, target: str, key: str, fingerprint: bytes, on_trial: bool
    ) -> None:
        """Adds a request that was dispatched."""
        self._by_target[target][key] = (fingerprint, on_trial)

    def end(self, target: str, key: str) -> None:
        """Removes a request that has its verdict."""
        running = self._by_target.get(target)
        if running is not None:
            running.pop(key, None)
            if not running:
                del self._by_target[target]

    def take_crashed(self, target: str, key: str) -> Crash | None:
        """Returns and removes all requests of a target that crashed.

        Each of these requests detects the crash and calls this method. Only
        the first call returns the crash; the others return None.
        """
        running = self._by_target.get(target)
        if running is None or key not in running:
            return None
        del self._by_target[target]
        trials = [
            fingerprint
            for fingerprint, on_trial in running.values()
            if on_trial
        ]
        return Crash(
            frozenset(fingerprint for fingerprint, _ in running.values()),
            trials[0] if trials else None,
        )

    def count(self) -> dict[str, int]:
        """Returns the number of running requests by target."""
        return {name: len(items) for name, items in self._by_target.items()}
