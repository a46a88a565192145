"""Requests that crash targets: suspects, trials and quarantine."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable

from peridotbend.domain.clock import Clock
from peridotbend.domain.ports import (
    FingerprintEntry,
    SuspectState,
    TrialAnswer,
)


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Bounds and times of a SuspectTable."""

    # Every state lasts equally long, so the expiry also orders two entries
    # by the time at which they were recorded.
    lifetime_ms: int = 600_000
    # Must exceed the longest run of a trial, or a second may overlap it.
    permit_ms: int = 60_000
    max_entries: int = 4_096
    max_trials: int = 1_024
    trial_retry_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    state: SuspectState
    expires_at_ms: int
    # True when its last crash hit a target that ran nothing else.
    ran_alone: bool = False

    @property
    def precedence(self) -> tuple[bool, int, int]:
        """Total order of entries: merging keeps the greatest.

        Quarantine outlasts any clearing. Between suspect and cleared the
        later one counts.
        """
        quarantined = self.state is SuspectState.QUARANTINED
        return quarantined, self.expires_at_ms, self.state.value


@dataclasses.dataclass(slots=True)
class _Trial:
    holder: str
    expires_at_ms: int
    target_died: bool = False


class SuspectTable:
    """What one process knows about request fingerprints.

    Entries travel between peers as remaining times, so each hop lengthens
    an entry by the delay of its message. The periods between messages are
    longer than the delays, so every entry still ends.
    """

    # Recording two changes within one millisecond moves an expiry past the
    # lifetime; more than this in a peer's entry is not believed.
    EXPIRY_SLACK_MS = 1_000

    def __init__(
        self, clock: Clock, settings: QuarantineSettings = QuarantineSettings()
    ):
        self._clock = clock
        self._settings = settings
        # Both in order of the last change, oldest first.
        self._quarantined: OrderedDict[bytes, _Entry] = OrderedDict()
        self._others: OrderedDict[bytes, _Entry] = OrderedDict()
        self._trials: OrderedDict[bytes, _Trial] = OrderedDict()
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when the state of a fingerprint changes."""
        self._callbacks.append(callback)

    def record_crash(
        self, fingerprints: Collection[bytes], on_trial: bytes | None
    ) -> None:
        """Notes that a target died with these requests in flight.

        The request on trial is the culprit. Without one, a request that was
        alone at two crashes in a row is; all others become suspects.
        """
        crashed = set(fingerprints)
        if on_trial is not None:
            crashed.discard(on_trial)
            self.finish_trial(on_trial, crashed=True)
        ran_alone = on_trial is None and len(crashed) == 1
        for fingerprint in crashed:
            known = self._find(fingerprint)
            if ran_alone and known is not None and known.ran_alone:
                self._quarantine(fingerprint)
            else:
                self._change(fingerprint, SuspectState.SUSPECT, ran_alone)

    def record_success(self, fingerprint: bytes) -> None:
        """Clears a suspect that ran to its end after the crash."""
        known = self._find(fingerprint)
        if known is not None and known.state is SuspectState.SUSPECT:
            self._change(fingerprint, SuspectState.CLEAN)

    def check(self, fingerprint: bytes) -> SuspectState:
        """Returns whether a request may run freely, on trial or not."""
        self._expire_trials()
        entry = self._find(fingerprint)
        return entry.state if entry else SuspectState.CLEAN

    def grant_trial(
        self, fingerprint: bytes, holder: str, permit_ms: int = 0
    ) -> TrialAnswer:
        """Permits one trial at a time; only the owner may be asked.

        Args:
            fingerprint: the request that wants to run.
            holder: who would run it, as `record_holder_crash` names it.
            permit_ms: longest time the run may take; 0 takes the setting.

        Returns:
            The permit, or when to ask again.
        """
        if self.check(fingerprint) is SuspectState.QUARANTINED:
            expires_at_ms = self._quarantined[fingerprint].expires_at_ms
            remaining_ms = expires_at_ms - self._clock.now_ms()
            return TrialAnswer(False, True, remaining_ms)
        if (
            fingerprint in self._trials
            or len(self._trials) >= self._settings.max_trials
        ):
            return TrialAnswer(
                False, retry_after_ms=self._settings.trial_retry_ms
            )
        expires_in_ms = permit_ms or self._settings.permit_ms
        self._trials[fingerprint] = _Trial(
            holder, self._clock.now_ms() + expires_in_ms
        )
        return TrialAnswer(True)

    def finish_trial(self, fingerprint: bytes, crashed: bool) -> None:
        """Ends a trial: a crash quarantines, success clears."""
        self._trials.pop(fingerprint, None)
        if crashed:
            self._quarantine(fingerprint)
        else:
            self.record_success(fingerprint)

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Returns a permit whose request was never written to a target."""
        trial = self._trials.get(fingerprint)
        if trial is not None and trial.holder == holder:
            del self._trials[fingerprint]

    def record_holder_crash(self, holder: str) -> None:
        """Notes that the target which this holder was using has died.

        Its permits count as crashes if they lapse without a report.
        """
        for trial in self._trials.values():
            if trial.holder == holder:
                trial.target_died = True

    def export(self, limit: int) -> list[FingerprintEntry]:
        """Returns entries for peers: quarantined first, then the newest."""
        self._expire_trials()
        now_ms = self._clock.now_ms()
        entries: list[FingerprintEntry] = []
        for table in (self._quarantined, self._others):
            for value, entry in reversed(table.items()):
                if len(entries) >= limit:
                    return entries
                remaining_ms = entry.expires_at_ms - now_ms
                if remaining_ms > 0:
                    entries.append(
                        FingerprintEntry(value, entry.state, remaining_ms)
                    )
        return entries

    def merge(self, entries: Iterable[FingerprintEntry]) -> None:
        """Takes over what a peer knows; order and repeats do not matter."""
        now_ms = self._clock.now_ms()
        max_remaining_ms = self._settings.lifetime_ms + self.EXPIRY_SLACK_MS
        for entry in entries:
            if entry.remaining_ms <= 0:
                continue
            remaining_ms = min(entry.remaining_ms, max_remaining_ms)
            offered = _Entry(entry.state, now_ms + remaining_ms)
            known = self._find(entry.value)
            if known is None or offered.precedence > known.precedence:
                # A state that is only repeated keeps the local knowledge
                # of whether the request was alone at the crash.
                ran_alone = (
                    known is not None
                    and known.ran_alone
                    and known.state is offered.state
                )
                self._put(
                    entry.value,
                    dataclasses.replace(offered, ran_alone=ran_alone),
                )

    def __len__(self) -> int:
        return len(self._quarantined) + len(self._others)

    def _quarantine(self, fingerprint: bytes) -> None:
        self._change(fingerprint, SuspectState.QUARANTINED)

    def _change(
        self, fingerprint: bytes, state: SuspectState, ran_alone: bool = False
    ) -> None:
        known = self._find(fingerprint)
        expires_at_ms = self._clock.now_ms() + self._settings.lifetime_ms
        if known is not None:
            if (
                known.state is SuspectState.QUARANTINED
                and state is not SuspectState.QUARANTINED
            ):
                return
            # A change must come after what it replaces, also at peers.
            expires_at_ms = max(expires_at_ms, known.expires_at_ms + 1)
        self._put(fingerprint, _Entry(state, expires_at_ms, ran_alone))

    def _find(self, fingerprint: bytes) -> _Entry | None:
        entry = self._quarantined.get(fingerprint) or self._others.get(
            fingerprint
        )
        if entry is None:
            return None
        if entry.expires_at_ms <= self._clock.now_ms():
            self._remove(fingerprint)
            return None
        return entry

    def _remove(self, fingerprint: bytes) -> None:
        self._quarantined.pop(fingerprint, None)
        self._others.pop(fingerprint, None)

    def _put(self, fingerprint: bytes, entry: _Entry) -> None:
        known = self._find(fingerprint)
        self._remove(fingerprint)
        if len(self) >= self._settings.max_entries:
            evictable = self._others or self._quarantined
            evictable.popitem(last=False)
        quarantined = entry.state is SuspectState.QUARANTINED
        table = self._quarantined if quarantined else self._others
        table[fingerprint] = entry
        if known is None or known.state is not entry.state:
            for callback in self._callbacks:
                callback()

    def _expire_trials(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            fingerprint
            for fingerprint, trial in self._trials.items()
            if trial.expires_at_ms <= now_ms
        ]
        for fingerprint in expired:
            if self._trials.pop(fingerprint).target_died:
                self._quarantine(fingerprint)
