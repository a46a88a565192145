"""Whether targets are reached directly, or only through other instances.

An instance may lose its own links while its targets are sound, and its callers
and peers still reach it. A connect that fails does not tell the two apart; a
peer that connects where this instance could not does. A connect that succeeds
shows nothing either, since what cuts a link may accept it: only an answer of
the target does. An instance may also reach some targets of a service and not
others, so that links are judged by service and by target.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from peridotbend.domain.clock import Clock
from peridotbend.domain.events import Event
from peridotbend.domain.ports import EventLog
from peridotbend.domain.targetreach import (
    MIN_NEXT_MISSES,
    MIN_SILENT_TARGETS,
    MIN_TARGET_MISSES,
    QUICK_TRIALS,
    SILENT_DIVISOR,
    UNANSWERED_TTL_MS,
    LinkFault,
    Miss,
    TargetReach,
    TrialPlan,
    count_faults,
    drop_old,
    find_form,
)

# Targets of one service to which connects fail one after the other before a
# peer is asked. A single one is more likely to be down itself.
MIN_FAILED_TARGETS = 2
# Older failures tell nothing of the links.
FAILURE_TTL_MS = 2_000
# Direct answers that show that the links are back; one may pass a link that
# loses most packets.
MIN_ANSWERED = 2
# New connections in a row without an answer before the links are doubted.
# Targets in trouble of their own leave some without one.
MIN_UNANSWERED = 3
# The next one after a direct answer has shown that the links are sound.
TRIAL_HOLD_MS = 1_000


class Endpoint(Protocol):
    """A target, as far as connections to it are concerned."""

    @property
    def name(self) -> str:
        """The name, which differs for each target."""
        ...

    @property
    def service(self) -> str:
        """The service that the target is part of."""
        ...

    @property
    def host(self) -> str:
        """Where the target listens."""
        ...

    @property
    def port(self) -> int:
        """Where the target listens."""
        ...


class TargetLookup(Protocol):
    """The targets that an instance knows."""

    def find(self, name: str) -> Endpoint | None:
        """Returns a target by name."""
        ...

    def list_for(self, service: str) -> Sequence[Endpoint]:
        """Returns the targets of a service."""
        ...


@dataclasses.dataclass(slots=True)
class _ServicePath:
    # Time of the last failed connect by target, since the last that succeeded.
    failed_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    # Since the last direct answer, failed connects included.
    missed: list[Miss] = dataclasses.field(default_factory=list)
    plan: TrialPlan = dataclasses.field(
        default_factory=lambda: TrialPlan(QUICK_TRIALS)
    )
    is_lost: bool = False
    # The form of the cut, once the links are lost.
    form: str = ""
    # Direct answers in a row since the links were lost.
    answered: int = 0
    # Targets with connections that brought no answer, by name.
    targets: dict[str, TargetReach] = dataclasses.field(default_factory=dict)
    # No single target is doubted until then.
    hold_until_ms: int = 0
    # Whether all targets were asked since the link to one of them was lost.
    is_surveyed: bool = False

    def hold(self, until_ms: int) -> None:
        """Begins no trial until then, since a doubt was void."""
        self.hold_until_ms = until_ms
        self.plan.next_at_ms = until_ms

    def forget_missed(self, before_ms: int) -> None:
        """Drops connections up to a time."""
        self.missed = drop_old(self.missed, before_ms)

    def count_silent(self, now_ms: int) -> int:
        """Returns the number of targets that do not answer."""
        oldest_ms = now_ms - UNANSWERED_TTL_MS
        return sum(
            any(miss.at_ms > oldest_ms for miss in reach.missed)
            for reach in self.targets.values()
        )

    def has_lost_target(self) -> bool:
        """Tells whether a single target is reached by peers only."""
        return any(reach.is_lost for reach in self.targets.values())

    def find_min_missed(self, now_ms: int, listed: int) -> int:
        """Returns from how many misses on the link to a target is doubted.

        Args:
            now_ms: the current time.
            listed: the number of targets of the service.
        """
        min_silent = max(MIN_SILENT_TARGETS, listed // SILENT_DIVISOR)
        is_cut_likely = (
            self.has_lost_target() or self.count_silent(now_ms) >= min_silent
        )
        return MIN_NEXT_MISSES if is_cut_likely else MIN_TARGET_MISSES


class TargetPaths:
    """The state of this instance's own links, by service."""

    def __init__(self, clock: Clock, log: EventLog, targets: TargetLookup):
        self._clock = clock
        self._log = log
        self._targets = targets
        self._paths: dict[str, _ServicePath] = {}

    def is_suspect(self, service: str) -> bool:
        """Tells whether connects fail that may well succeed elsewhere."""
        path = self._paths.get(service)
        if path is None or not path.failed_at_ms:
            return False
        oldest_ms = self._clock.now_ms() - FAILURE_TTL_MS
        recent = sum(at >= oldest_ms for at in path.failed_at_ms.values())
        return recent >= self._limit_to_targets(service, MIN_FAILED_TARGETS)

    def is_doubtful(self, service: str) -> bool:
        """Tells whether connections are accepted, but bring no answers."""
        path = self._paths.get(service)
        if path is None or not path.missed:
            return False
        path.forget_missed(self._clock.now_ms() - UNANSWERED_TTL_MS)
        targets = {miss.target for miss in path.missed}
        return (
            any(miss.fault.is_accepted for miss in path.missed)
            and len(path.missed)
            > self._limit_to_targets(service, MIN_UNANSWERED - 1)
            and len(targets)
            >= self._limit_to_targets(service, MIN_FAILED_TARGETS)
        )

    def is_lost(self, service: str) -> bool:
        """Tells whether the targets of a service are reached by peers only."""
        path = self._paths.get(service)
        return path is not None and path.is_lost

    def list_lost(self) -> list[str]:
        """Returns the services whose targets are reached by peers only."""
        return [name for name, path in self._paths.items() if path.is_lost]

    def is_target_lost(self, service: str, target: str) -> bool:
        """Tells whether a target is reached by peers only."""
        path = self._paths.get(service)
        if path is None:
            return False
        reach = path.targets.get(target)
        return path.is_lost or (reach is not None and reach.is_lost)

    def list_lost_targets(self, service: str) -> list[str]:
        """Returns the targets that alone are reached by peers only."""
        path = self._paths.get(service)
        if path is None:
            return []
        return [name for name, reach in path.targets.items() if reach.is_lost]

    def describe_lost(self) -> dict[str, str]:
        """Returns the targets that are reached by peers only, with the form."""
        forms = {}
        for service, path in self._paths.items():
            for target in self._targets.list_for(service):
                reach = path.targets.get(target.name)
                if path.is_lost:
                    forms[target.name] = path.form
                elif reach is not None and reach.is_lost:
                    forms[target.name] = reach.form
        return forms

    def count_lost(self, form: str) -> int:
        """Returns the number of such targets by the form of the cut."""
        return list(self.describe_lost().values()).count(form)

    def is_target_doubtful(self, service: str, target: str) -> bool:
        """Tells whether a target does not answer, though others may.

        While none answers, the links to all of them are doubted instead.
        """
        path = self._paths.get(service)
        reach = path.targets.get(target) if path else None
        if path is None or reach is None or path.is_lost or reach.is_lost:
            return False
        now_ms = self._clock.now_ms()
        if now_ms < path.hold_until_ms or self.is_doubtful(service):
            return False
        listed = len(self._targets.list_for(service))
        return reach.is_doubtful(now_ms, path.find_min_missed(now_ms, listed))

    def list_doubtful(self) -> list[tuple[str, str]]:
        """Returns service and target of links that a trial may test now."""
        now_ms = self._clock.now_ms()
        found: list[tuple[str, str]] = []
        for service, path in self._paths.items():
            is_held = path.is_lost or now_ms < path.hold_until_ms
            if is_held or self.is_doubtful(service):
                continue
            listed = len(self._targets.list_for(service))
            min_missed = path.find_min_missed(now_ms, listed)
            found.extend(
                (service, name)
                for name, reach in path.targets.items()
                if not reach.is_lost
                and reach.is_doubtful(now_ms, min_missed)
                and now_ms >= reach.plan.next_at_ms
            )
        return found

    def list_services(self) -> list[str]:
        """Returns the services with targets that alone are lost."""
        for service, path in self._paths.items():
            if path.has_lost_target():
                self._drop_unlisted(service, path)
        return [n for n, path in self._paths.items() if path.has_lost_target()]

    def begin_survey(self, service: str) -> bool:
        """Tells whether all targets of a service are to be asked.

        That is so once, when the link to one of them alone is lost: a cut
        seldom strikes a single target.
        """
        path = self._paths[service]
        is_new = not path.is_surveyed and not path.is_lost
        path.is_surveyed = path.is_surveyed or is_new
        return is_new

    def may_try_peer(self, service: str, target: str) -> bool:
        """Tells whether a trial of a doubted target may begin now."""
        reach = self._paths[service].targets[target]
        return self._clock.now_ms() >= reach.plan.next_at_ms

    def was_accepted(self, service: str, target: str) -> bool:
        """Tells whether the last unanswered connection was established."""
        path = self._paths.get(service)
        reach = path.targets.get(target) if path else None
        missed = reach.missed if reach else []
        return bool(missed) and missed[-1].fault.is_accepted

    def begin_target_trial(self, service: str, target: str) -> bool:
        """Tells whether a peer is to be tried for a target alone."""
        if not self.is_target_doubtful(service, target):
            return False
        reach = self._paths[service].targets[target]
        self.note_doubted(service, target)
        return reach.plan.begin(self._clock.now_ms())

    def note_doubted(self, service: str, target: str) -> None:
        """Logs, once, that the link to a target is doubted."""
        reach = self._paths[service].targets[target]
        if not reach.is_logged:
            reach.is_logged = True
            self._log.emit(
                Event.TARGET_LINKS_DOUBTED,
                service=service,
                scope=target,
                **_describe_missed(reach.missed),
            )

    def begin_trial(self, service: str) -> bool:
        """Tells whether a peer is to be tried since the links are doubted."""
        path = self._paths.get(service)
        if path is None or path.is_lost or not self.is_doubtful(service):
            return False
        if not path.plan.begin(self._clock.now_ms()):
            return False
        if path.plan.trials == 1:
            self._log.emit(
                Event.TARGET_LINKS_DOUBTED,
                service=service,
                scope="service",
                **_describe_missed(path.missed),
            )
        return True

    def note_failed(
        self,
        service: str,
        target: str,
        fault: LinkFault = LinkFault.REFUSED,
        is_for_peer: bool = False,
    ) -> None:
        """Records that a direct connect failed.

        One for a peer raises no doubt of a single target: if that is down for
        all, each instance that is asked would ask others.
        """
        path = self._paths.setdefault(service, _ServicePath())
        now_ms = self._clock.now_ms()
        path.failed_at_ms[target] = now_ms
        self._note_missed(
            service, path, Miss(now_ms, target, fault), is_for_peer
        )

    def note_connected(self, service: str) -> None:
        """Records that a direct connect succeeded.

        It voids connects that failed, but is no answer of the target.
        """
        path = self._paths.get(service)
        if path is not None:
            path.failed_at_ms.clear()

    def note_unanswered(
        self,
        service: str,
        target: str,
        connected_at_ms: int,
        fault: LinkFault = LinkFault.RESET,
    ) -> None:
        """Records that a direct connection brings no answer."""
        path = self._paths.setdefault(service, _ServicePath())
        self._note_missed(service, path, Miss(connected_at_ms, target, fault))

    def note_answered(
        self, service: str, target: str, connected_at_ms: int
    ) -> None:
        """Records that a target answered over a direct connection.

        Connections live on through some cuts, so that an answer tells nothing
        of those that were established later.
        """
        path = self._paths.get(service)
        if path is None:
            return
        self._note_target_answered(service, path, target, connected_at_ms)
        path.forget_missed(connected_at_ms)
        if path.missed:
            return
        if path.plan.trials:
            path.plan.trials = 0
            path.hold(self._clock.now_ms() + TRIAL_HOLD_MS)
        if not path.is_lost:
            return
        path.answered += 1
        if path.answered >= self._limit_to_targets(service, MIN_ANSWERED):
            path.is_lost = False
            self._keep_lost_targets(path)
            self._log.emit(
                Event.TARGET_LINKS_BACK,
                service=service,
                scope="service",
                target=target,
            )

    def note_relayed(self, service: str, target: str, peer: str) -> None:
        """Records that a peer connected to a target."""
        if self.is_suspect(service):
            self._lose(service, target, peer)

    def note_relayed_answer(self, service: str, target: str, peer: str) -> None:
        """Records that a target answered over a connection of a peer."""
        path = self._paths.get(service)
        if path is None:
            return
        if path.plan.trials and self.is_doubtful(service):
            self._lose(service, target, peer)
        reach = path.targets.get(target)
        if reach is not None and reach.plan.trials:
            self._lose_target(service, target, peer)

    def _note_target_answered(
        self, service: str, path: _ServicePath, target: str, at_ms: int
    ) -> None:
        reach = path.targets.get(target)
        if reach is None:
            return
        later = drop_old(reach.missed, at_ms)
        if later:
            reach.missed = later
            return
        now_ms = self._clock.now_ms()
        if not reach.is_lost:
            if not reach.is_logged:
                # Nothing was asked because of the doubt.
                reach.missed = []
            elif not reach.note_void(now_ms):
                path.hold(now_ms + TRIAL_HOLD_MS)
            return
        reach.missed = []
        reach.answered += 1
        if reach.answered >= MIN_ANSWERED:
            del path.targets[target]
            path.is_surveyed = path.is_surveyed and path.has_lost_target()
            self._log.emit(
                Event.TARGET_LINKS_BACK,
                service=service,
                scope=target,
                target=target,
            )

    def _keep_lost_targets(self, path: _ServicePath) -> None:
        """Goes on with peers for targets that have not answered so far."""
        for reach in path.targets.values():
            if reach.missed:
                reach.is_lost = True
                reach.answered = 0
                reach.form = find_form(reach.missed)

    def _lose_target(self, service: str, target: str, peer: str) -> None:
        if not self.is_target_doubtful(service, target):
            return
        reach = self._paths[service].targets[target]
        reach.is_lost = True
        reach.answered = 0
        reach.form = find_form(reach.missed)
        self._log.emit(
            Event.TARGET_LINKS_LOST,
            service=service,
            scope=target,
            target=target,
            peer=peer,
            form=reach.form,
            **_describe_missed(reach.missed),
        )

    def _lose(self, service: str, target: str, peer: str) -> None:
        path = self._paths[service]
        if path.is_lost:
            return
        path.is_lost = True
        path.answered = 0
        path.form = find_form(path.missed)
        self._log.emit(
            Event.TARGET_LINKS_LOST,
            service=service,
            scope="service",
            target=target,
            peer=peer,
            form=path.form,
            failed=sorted(path.failed_at_ms),
            **_describe_missed(path.missed),
        )

    def _note_missed(
        self,
        service: str,
        path: _ServicePath,
        miss: Miss,
        is_for_peer: bool = False,
    ) -> None:
        oldest_ms = self._clock.now_ms() - UNANSWERED_TTL_MS
        path.missed = drop_old([*path.missed, miss], oldest_ms)
        path.answered = 0
        if is_for_peer:
            return
        if miss.target not in path.targets:
            self._drop_unlisted(service, path)
        path.targets.setdefault(miss.target, TargetReach()).note_missed(miss)

    def _drop_unlisted(self, service: str, path: _ServicePath) -> None:
        """Forgets targets that are gone, and answer no more."""
        listed = {target.name for target in self._targets.list_for(service)}
        for name in path.targets.keys() - listed:
            del path.targets[name]

    def _limit_to_targets(self, service: str, count: int) -> int:
        return max(1, min(count, len(self._targets.list_for(service))))


def _describe_missed(missed: list[Miss]) -> dict[str, object]:
    unanswered = {miss.target for miss in missed if miss.fault.is_accepted}
    return {
        "unanswered": sorted(unanswered),
        "failed_connects": sum(not m.fault.is_accepted for m in missed),
        "forms": count_faults(missed),
    }
