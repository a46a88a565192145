"""Finds and quarantines requests that crash targets.

Requests that were in flight on a target when it crashed become suspects. A
suspect may run only on trial, one run at a time. If its target crashes again,
the request is quarantined and refused.
"""

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
    """Limits and durations of a SuspectTable."""

    # The same for all states, so that the expiry times of two entries also
    # tell which one was recorded later.
    lifetime_ms: int = 600_000
    # Must exceed the longest trial run, or a second trial could overlap it.
    permit_ms: int = 60_000
    max_entries: int = 4_096
    max_trials: int = 1_024
    trial_retry_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    state: SuspectState
    expires_at_ms: int
    # Whether the target ran nothing else at the last crash.
    ran_alone: bool = False

    @property
    def precedence(self) -> tuple[bool, int, int]:
        """Sort key by which a merge keeps the greatest entry.

        Quarantine takes precedence over the other states. Between suspect
        and cleared, the later entry wins.
        """
        quarantined = self.state is SuspectState.QUARANTINED
        return quarantined, self.expires_at_ms, self.state.value


@dataclasses.dataclass(slots=True)
class _Trial:
    holder: str
    expires_at_ms: int
    target_crashed: bool = False


class SuspectTable:
    """What one process knows about request fingerprints.

    Entries are sent to peers with their remaining time, so each hop extends
    an entry by the message delay. The interval between messages is longer
    than the delay, so every entry still expires.
    """

    # Two changes within one millisecond push an expiry past the lifetime.
    # Peers' entries are capped at the lifetime plus this much.
    EXPIRY_SLACK_MS = 1_000

    def __init__(
        self, clock: Clock, settings: QuarantineSettings = QuarantineSettings()
    ):
        self._clock = clock
        self._settings = settings
        # Both are ordered by the last change, oldest first.
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
        """Records that a target crashed with these requests in flight.

        The request on trial, if any, is quarantined. Without one, a request
        that was the only one in flight at two consecutive crashes is. All
        others become suspects.
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
        """Clears a suspect that completed after the crash."""
        known = self._find(fingerprint)
        if known is not None and known.state is SuspectState.SUSPECT:
            self._change(fingerprint, SuspectState.CLEAN)

    def check(self, fingerprint: bytes) -> SuspectState:
        """Returns whether a request may run freely, only on trial, or not."""
        self._expire_trials()
        entry = self._find(fingerprint)
        return entry.state if entry else SuspectState.CLEAN

    def grant_trial(
        self, fingerprint: bytes, holder: str, permit_ms: int = 0
    ) -> TrialAnswer:
        """Grants a permit unless a trial of the fingerprint is in progress.

        May be called only on the instance that owns the fingerprint.

        Args:
            fingerprint: fingerprint of the request to run.
            holder: who would run it, as passed to `record_holder_crash`.
            permit_ms: longest duration of the run; 0 uses the setting.

        Returns:
            The permit, or the delay after which to ask again.
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
        """Ends a trial: a crash quarantines the request, success clears it."""
        self._trials.pop(fingerprint, None)
        if crashed:
            self._quarantine(fingerprint)
        else:
            self.record_success(fingerprint)

    def cancel_trial(self, fingerprint: bytes, holder: str) -> None:
        """Gives back a permit whose request was never sent to a target."""
        trial = self._trials.get(fingerprint)
        if trial is not None and trial.holder == holder:
            del self._trials[fingerprint]

    def record_holder_crash(self, holder: str) -> None:
        """Records that the target used by this holder has crashed.

        Its permits count as crashes if they expire without a report.
        """
        for trial in self._trials.values():
            if trial.holder == holder:
                trial.target_crashed = True

    def export(self, limit: int) -> list[FingerprintEntry]:
        """Returns entries for peers, quarantined ones first, newest first."""
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
        """Merges entries of a peer; order and repetition do not matter."""
        now_ms = self._clock.now_ms()
        max_remaining_ms = self._settings.lifetime_ms + self.EXPIRY_SLACK_MS
        for entry in entries:
            if entry.remaining_ms <= 0:
                continue
            remaining_ms = min(entry.remaining_ms, max_remaining_ms)
            offered = _Entry(entry.state, now_ms + remaining_ms)
            known = self._find(entry.value)
            if known is None or offered.precedence > known.precedence:
                # If the state is unchanged, keep the local flag: peers do
                # not send it.
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
            # Orders the change after the entry it replaces, also at peers.
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
            if self._trials.pop(fingerprint).target_crashed:
                self._quarantine(fingerprint)
