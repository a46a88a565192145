"""Which request fingerprints are running on which target."""

import dataclasses
from collections import defaultdict


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The requests that were on a target when it died."""

    fingerprints: frozenset[bytes]
    # The request that ran on trial there, if one did.
    on_trial: bytes | None


class InFlightTable:
    """Requests between dispatch and verdict, by target."""

    def __init__(self) -> None:
        self._by_target: dict[str, dict[str, tuple[bytes, bool]]] = defaultdict(
            dict
        )

    def begin(
        self, target: str, key: str, fingerprint: bytes, on_trial: bool
    ) -> None:
        """Notes a request that was dispatched."""
        self._by_target[target][key] = (fingerprint, on_trial)

    def end(self, target: str, key: str) -> None:
        """Notes that a request has its verdict."""
        running = self._by_target.get(target)
        if running is not None:
            running.pop(key, None)
            if not running:
                del self._by_target[target]

    def take_crashed(self, target: str, key: str) -> Crash | None:
        """Returns all that ran on a dead target, once for each death.

        Every request there notices the death by itself; only the first to
        call gets the list, since the others are no longer noted.
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
