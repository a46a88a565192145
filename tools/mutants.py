"""Mutation tests: disables one mechanism of the edge at a time.

A mutant is killed when a test of the mechanism fails; a mutant that survives
shows a mechanism that no test covers. Run `python tools/mutants.py` in the
root of the repository for all mutants, or pass the names of some.
"""

import concurrent.futures
import contextlib
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading

ROOT = pathlib.Path(__file__).resolve().parent.parent
EDGE = "src/peridotbend/edge/"
LOAD = "src/peridotbend/load/"
# Limit for the tests of one mutant, since a mutant may cause a hang.
TEST_TIMEOUT_S = 400
# Limit for the tests of all mutants, one after the other, on the unchanged
# source.
BASELINE_TIMEOUT_S = 3_600
MAX_PARALLEL_MUTANTS = 3
# Tests that start processes on fixed addresses; only one mutant at a time may
# run them.
PROCESS_TESTS = (
    "test_edge_processes",
    "test_edge_failures",
    "test_edge_trouble",
    "test_edge_heads",
    "test_edge_restarts",
    "test_edge_restarts_review",
    "test_edge_reports",
    "test_edge_evidence_review",
    "test_edge_cold_processes",
    "test_evacuation_processes",
    "test_endless_processes",
    "test_halfopen_processes",
    "test_slowbodies_processes",
    "test_stories",
    "test_stories_processes",
)


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A mechanism that is disabled by replacing source text in one module."""

    name: str
    # Name of the rule in the users' documents that the mechanism enforces.
    rule: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = (
    Mutant(
        "error-passed-as-success",
        "MIXED",
        EDGE + "delivery.py",
        "failed = status >= ERROR_STATUS",
        "failed = False",
        ("test_edge_relay",),
    ),
    Mutant(
        "answer-of-another-attempt",
        "MIXED",
        "src/peridotbend/platform/runners.py",
        "if any(answered != attempt for answered in answered_attempts):",
        "if False:",
        ("test_edge_clients", "test_stories.SecondCopyTest"),
    ),
    Mutant(
        "reset-taken-for-the-end",
        "MIXED",
        "src/peridotbend/adapters/sockets.py",
        "SO_ERROR",
        "SO_TYPE",
        ("test_sockets",),
    ),
    Mutant(
        "partial-event-kept",
        "ORDER",
        EDGE + "events.py",
        'self._partial = b""\n        self._has_skipped = False\n',
        "self._has_skipped = False\n",
        ("test_edge_events.ForeignBytesTest", "test_edge_streams"),
    ),
    Mutant(
        "foreign-line-passed",
        "ORDER",
        EDGE + "events.py",
        'return "line that is no field"',
        "pass",
        ("test_edge_events.ForeignBytesTest", "test_edge_streams"),
    ),
    Mutant(
        "event-id-not-followed",
        "ORDER",
        EDGE + "events.py",
        'return "event ID that does not follow"',
        "pass",
        ("test_edge_events.ForeignBytesTest", "test_edge_streams"),
    ),
    Mutant(
        "run-believed-after-foreign-bytes",
        "ORDER",
        EDGE + "delivery.py",
        "if request.events.problem:",
        "if False:",
        ("test_edge_streams",),
    ),
    Mutant(
        "resume-from-the-start",
        "ORDER",
        EDGE + "sends.py",
        "            request.events.last_event_id,\n            reuse",
        '            "",\n            reuse',
        ("test_edge_streams",),
    ),
    Mutant(
        "stream-that-cannot-resume-repeated",
        "ORDER",
        EDGE + "config.py",
        "return self.can_resume",
        "return True",
        ("test_edge_streams",),
    ),
    Mutant(
        "system-headers-passed-on",
        "UNASKED",
        "src/peridotbend/platform/ingress.py",
        "| wire.SYSTEM_HEADERS",
        "| frozenset()",
        ("test_edge_platform",),
    ),
    Mutant(
        "order-sent-again",
        "TWICE",
        EDGE + "relay.py",
        "if request.may_have_run and not request.route.may_repeat:",
        "if False:",
        ("test_edge_relay", "test_edge_oracle", "test_stories.LostAnswerTest"),
    ),
    Mutant(
        "dispatch-not-marked",
        "REFUSED",
        EDGE + "sends.py",
        "            request.may_have_run = True\n"
        "            request.sends += 1",
        "            request.sends += 1",
        ("test_edge_relay", "test_edge_oracle", "test_stories.LostAnswerTest"),
    ),
    Mutant(
        "rejection-forgets-earlier-runs",
        "REFUSED",
        EDGE + "sends.py",
        "request.may_have_run = may_have_run_before",
        "request.may_have_run = False",
        ("test_edge_oracle", "test_edge_relay", "test_stories.LostAnswerTest"),
    ),
    Mutant(
        "not-found-before-the-configuration",
        "DENIED",
        EDGE + "admission.py",
        "return NotRun(Reason.NO_TEXT, NO_CONFIG_RETRY_MS)",
        "return NotRun(Reason.UNKNOWN_KIND)",
        ("test_edge_relay",),
    ),
    Mutant(
        "attempts-unbounded",
        "BUDGET",
        EDGE + "relay.py",
        "if request.sends >= request.route.max_attempts:",
        "if request.sends >= 100:",
        ("test_edge_relay",),
    ),
    Mutant(
        "whole-time-limit-given-on",
        "BUDGET",
        EDGE + "sends.py",
        "            request.deadline_at_ms - self._clock.now_ms(),\n"
        "            request.events",
        "            request.route.timeout_ms,\n            request.events",
        ("test_edge_relay",),
    ),
    Mutant(
        "resends-not-shared",
        "BUDGET",
        EDGE + "sendbudget.py",
        "settings.resend_slack / max(1, instances)",
        "settings.resend_slack",
        ("test_edge_budgets", "test_edge_shares"),
    ),
    Mutant(
        "seeds-not-counted",
        "BUDGET",
        EDGE + "peers.py",
        "return 1 + len(self._peers)",
        "return 1 + len(self.list_live_hosts())",
        ("test_edge_peers", "test_edge_shares"),
    ),
    Mutant(
        "crashes-of-peers-ignored",
        "BUDGET",
        EDGE + "crashes.py",
        "            self._evidence.merge(suspicion)\n",
        "",
        ("test_edge_budgets", "test_edge_shares"),
    ),
    Mutant(
        "limit-not-divided",
        "LIMIT",
        EDGE + "ratelimits.py",
        "return Division(senders, rate_per_s / senders)",
        "return Division(senders, rate_per_s)",
        ("test_edge_limits",),
    ),
    Mutant(
        "cold-targets-not-bounded",
        "FAILBACK",
        EDGE + "coldtargets.py",
        "bound = self._bounds.get(target.service) if self._bounds else None",
        "bound = None",
        ("test_edge_cold",),
    ),
    Mutant(
        "cold-bound-not-divided",
        "FAILBACK",
        EDGE + "coldtargets.py",
        "each = max(1, permits // max(hosts, MIN_DIVISOR))",
        "each = permits",
        ("test_edge_cold",),
    ),
    Mutant(
        "started-target-filled-at-once",
        "RAMP",
        LOAD + "pace.py",
        "        if record is None or record.ramp is None:\n"
        "            return math.inf\n        if self._clock",
        "        if record is None or record.ramp is not None:\n"
        "            return math.inf\n        if self._clock",
        ("test_load_pace",),
    ),
    Mutant(
        "late-target-not-lowered",
        "RAMP",
        LOAD + "ramp.py",
        "if new_signs and self.pending_signs > tolerated * total:",
        "if False:",
        ("test_load_pace",),
    ),
    Mutant(
        "slow-target-not-limited",
        "RAMP",
        LOAD + "pace.py",
        "        if signs < MIN_SIGNS:\n",
        "        if signs:\n",
        ("test_load_pace",),
    ),
    Mutant(
        "burst-limits-all-targets",
        "RAMP",
        LOAD + "pace.py",
        "if others and signs < OUTLIER_FACTOR * sum(others) / len(others):",
        "if False:",
        ("test_load_pace",),
    ),
    Mutant(
        "service-that-started-refuses",
        "RAMP",
        LOAD + "pace.py",
        "max(ramp.share, service.ramping / len(service.targets))",
        "ramp.share",
        ("test_load_pace",),
    ),
    Mutant(
        "free-places-taken-by-all",
        "RAMP",
        LOAD + "pace.py",
        "if part >= 1.0 or instances == 1:",
        "if True:",
        ("test_load_pace",),
    ),
    Mutant(
        "selection-without-pace",
        "RAMP",
        EDGE + "selection.py",
        "limit = min(limit, paced)",
        "limit = min(limit, math.inf)",
        ("test_load_pace",),
    ),
    Mutant(
        "first-events-not-noted",
        "RAMP",
        EDGE + "delivery.py",
        "self._note_pace(tracked_send)",
        "pass",
        ("test_load_pace",),
    ),
    Mutant(
        "failures-not-noted",
        "RAMP",
        EDGE + "sends.py",
        "            if request.route.is_generation:\n"
        "                has_begun =",
        "            if False:\n                has_begun =",
        ("test_load_pace",),
    ),
    Mutant(
        "one-instance-convinces-all",
        "RAMP",
        LOAD + "pace.py",
        "min(record.signs, MAX_REPORTED_SIGNS)",
        "record.signs",
        ("test_load_pace",),
    ),
    Mutant(
        "prompt-parts-not-suspected",
        "BUDGET",
        EDGE + "crashes.py",
        "    for part in call.shared_parts:\n",
        "    for part in ():\n",
        ("test_edge_crashes",),
    ),
    Mutant(
        "parts-beside-the-cause-blamed",
        "LOST",
        EDGE + "evidence.py",
        "if len(deaths) == most:",
        "if True:",
        ("test_edge_budgets",),
    ),
    Mutant(
        "caller-not-watched",
        "GONE",
        "src/peridotbend/platform/ingress.py",
        "            group.cancel_scope.cancel()\n\n        try",
        "            return\n\n        try",
        ("test_edge_processes",),
    ),
    Mutant(
        "stop-without-waiting",
        "LOST",
        "src/peridotbend/edgenode.py",
        "await self._server.stop()",
        "pass",
        ("test_edge_processes", "test_stories.PlannedStopTest"),
    ),
    Mutant(
        "silent-run-cut-without-a-place",
        "LOST",
        EDGE + "relay.py",
        "        if slot is None:\n            return False\n",
        "        if slot is None:\n            return True\n",
        ("test_edge_streams",),
    ),
    Mutant(
        "begun-answer-given-up-in-a-silence",
        "LOST",
        EDGE + "relay.py",
        "        if request.is_final:\n            return False\n"
        "        if request.failover_slot",
        "        if request.failover_slot",
        ("test_edge_silence",),
    ),
    Mutant(
        "begun-answer-joined-with-another",
        "MIXED",
        EDGE + "delivery.py",
        "                request.is_final = True\n",
        "",
        ("test_edge_silence",),
    ),
    Mutant(
        "read-stream-taken-for-silent",
        "LOST",
        EDGE + "delivery.py",
        "        tracked_send.is_blocked = True\n        await",
        "        await",
        ("test_edge_silence",),
    ),
    Mutant(
        "time-of-the-caller-taken-for-silence",
        "LOST",
        EDGE + "inflight.py",
        "        self.awaited_since_ms = now_ms\n",
        "",
        ("test_edge_silence",),
    ),
    Mutant(
        "data-of-a-target-that-is-left",
        "LOST",
        EDGE + "inflight.py",
        "if self.scope.cancel_called:",
        "if False:",
        ("test_edge_silence",),
    ),
    Mutant(
        "answer-that-flows-taken-for-stalled",
        "LOST",
        EDGE + "inflight.py",
        "        if self.partial_bytes >= UNSTREAMED_PART_BYTES:",
        "        if False:",
        ("test_edge_silence",),
    ),
    Mutant(
        "drip-of-a-whole-answer-taken-for-progress",
        "LOST",
        EDGE + "inflight.py",
        "UNSTREAMED_PART_BYTES = 16_384",
        "UNSTREAMED_PART_BYTES = 1",
        ("test_edge_silence",),
    ),
    Mutant(
        "slow-callers-share-a-window",
        "LOST",
        "src/peridotbend/adapters/pathserver.py",
        "MAX_CONNECTIONS * STREAM_WINDOW_BYTES",
        "STREAM_WINDOW_BYTES",
        ("test_edge_paths.RelayedConnectionTest",),
    ),
    Mutant(
        "answered-request-forgotten",
        "REFUSED",
        EDGE + "crashes.py",
        "            trait, self._answered_at_ms.get(trait)\n",
        "            trait\n",
        ("test_edge_relay.CrashTest",),
    ),
    Mutant(
        "requests-kept-among-the-parts",
        "REFUSED",
        EDGE + "crashes.py",
        "self._answered_at_ms if is_request else self._sound_at_ms",
        "self._sound_at_ms",
        ("test_edge_budgets.CrashCauseTest",),
    ),
    Mutant(
        "lost-host-not-noticed",
        "LOST",
        "src/peridotbend/adapters/sockets.py",
        "(SOL_SOCKET, SO_KEEPALIVE, 1)",
        "(SOL_SOCKET, SO_KEEPALIVE, 0)",
        ("test_sockets",),
    ),
    Mutant(
        "slow-reader-taken-for-stalled",
        "LOST",
        "src/peridotbend/adapters/boundedconnections.py",
        "if self.transport.get_write_buffer_size() < unread_before:",
        "if False:",
        ("test_serving.SlowReaderTest",),
    ),
    Mutant(
        "slow-reader-taken-for-idle",
        "LOST",
        "src/peridotbend/adapters/boundedconnections.py",
        "if unread_bytes < self._unread_bytes:",
        "if False:",
        ("test_serving.SlowReaderTest",),
    ),
    Mutant(
        "place-counted-for-several-streams",
        "LOST",
        EDGE + "relay.py",
        "        request.failover_slot = slot\n",
        "        slot.release()\n",
        ("test_edge_streams",),
    ),
    Mutant(
        "rejected-stream-cut",
        "LOST",
        EDGE + "sends.py",
        "MAX_FREE_REJECTIONS = 3",
        "MAX_FREE_REJECTIONS = 0",
        ("test_edge_streams",),
    ),
    Mutant(
        "one-answer-holds-the-loop",
        "CONFIG",
        "src/peridotbend/adapters/connections.py",
        "        await self.pace.wait_turn()\n",
        "",
        ("test_pacing.PacingTest.test_other_tasks_run_between_parts",),
    ),
    Mutant(
        "connections-read-on-together",
        "CONFIG",
        "src/peridotbend/adapters/pacing.py",
        "await self._shared.turns.wait()",
        "await anyio.sleep(0)",
        ("test_pacing.PacingTest.test_connections_take_turns",),
    ),
    Mutant(
        "route-timeout-ignored",
        "CONFIG",
        EDGE + "admission.py",
        "time_limit_ms = min(time_limit_ms, call.deadline_ms)",
        "time_limit_ms = call.deadline_ms",
        ("test_edge_relay",),
    ),
    Mutant(
        "older-configuration-taken",
        "CONFIG",
        EDGE + "configholder.py",
        "config.version <= self.config.version",
        "config.version == self.config.version",
        ("test_edge_peers", "test_edge_oracle"),
    ),
    Mutant(
        "older-item-taken",
        "CONFIG",
        EDGE + "published.py",
        "            return item.position > known.position\n        later",
        "            return item.position != known.position\n        later",
        ("test_edge_peers",),
    ),
    Mutant(
        "eras-ignored",
        "CONFIG",
        EDGE + "published.py",
        "        if item.position.era == known.position.era:\n"
        "            return item.position > known.position\n",
        "        if item.key:\n"
        "            return item.position.revision > known.position.revision\n",
        ("test_edge_eras",),
    ),
    Mutant(
        "copy-undoes-versions",
        "CONFIG",
        EDGE + "published.py",
        "            return rank > known_rank\n",
        "            return item.position > known.position\n",
        ("test_edge_eras",),
    ),
    Mutant(
        "watch-over-a-restore-taken",
        "CONFIG",
        EDGE + "feeds.py",
        "if not changes.is_whole and changes.position.era > era:",
        "if not changes.is_whole and changes.position.era < era:",
        ("test_edge_eras",),
    ),
    Mutant(
        "lost-version-not-asked-for",
        "CONFIG",
        EDGE + "feeds.py",
        "            or state.version > own.version\n",
        "",
        ("test_edge_groups",),
    ),
    Mutant(
        "new-process-trusts-the-store",
        "DRAIN",
        EDGE + "feeds.py",
        "return FeedState() if self._must_ask else self.items.state",
        "return self.items.state",
        ("test_edge_eras", "test_stories_processes.RestartTest"),
    ),
    Mutant(
        "withheld-for-ever",
        "DRAIN",
        EDGE + "published.py",
        "        for item in released:\n            self._store(item)\n",
        "",
        ("test_edge_eras",),
    ),
    Mutant(
        "difference-from-before-the-first-copy",
        "DRAIN",
        EDGE + "published.py",
        "self._compacted = max(self._compacted, changes.position)",
        "pass",
        ("test_edge_peers",),
    ),
    Mutant(
        "empty-resumption-taken-for-the-end",
        "ORDER",
        EDGE + "delivery.py",
        "        has_events = False\n",
        "        has_events = bool(request.events.last_event_id)\n",
        ("test_edge_streams",),
    ),
    Mutant(
        "peers-not-asked",
        "CONFIG",
        EDGE + "feeds.py",
        "                host = self.take_peer_ahead()\n",
        '                host = ""\n',
        ("test_edge_feeds", "test_edge_processes"),
    ),
    Mutant(
        "watch-not-started-again",
        "CONFIG",
        EDGE + "feeds.py",
        "            self._restart_watch(since_ms)\n",
        "",
        ("test_edge_feeds",),
    ),
    Mutant(
        "too-large-history-read-again",
        "CONFIG",
        EDGE + "feeds.py",
        "(StoreFailure.COMPACTED, StoreFailure.TOO_LARGE)",
        "(StoreFailure.COMPACTED,)",
        ("test_edge_peers",),
    ),
    Mutant(
        "dead-store-connections-kept",
        "CONFIG",
        "src/peridotbend/platform/store.py",
        """        except TimeoutError:
            await self._client.close_idle(self._target)
""",
        "        except TimeoutError:\n",
        ("test_edge_clients",),
    ),
    Mutant(
        "own-links-taken-for-the-targets",
        "RECOVER",
        "src/peridotbend/domain/paths.py",
        "        return recent >= self._limit_to_targets("
        "service, MIN_FAILED_TARGETS)\n",
        "        return False\n",
        ("test_edge_paths", "test_node_paths"),
    ),
    Mutant(
        "connect-taken-for-an-answer",
        "RECOVER",
        "src/peridotbend/domain/paths.py",
        "            path.failed_at_ms.clear()\n\n    def note_unanswered(",
        "            path.failed_at_ms.clear()\n"
        "            path.missed.clear()\n\n    def note_unanswered(",
        ("test_edge_paths",),
    ),
    Mutant(
        "doubt-without-a-probe",
        "RECOVER",
        "src/peridotbend/adapters/pathclient.py",
        "        if is_trial and not await self._probe_some(target):\n",
        "        if is_trial:\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "accepting-proxy-ends-a-cut",
        "RECOVER",
        "src/peridotbend/adapters/targetprobes.py",
        "                return _find_fault(opened.err_value)\n",
        "                return None\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "gateway-page-taken-for-an-answer",
        "RECOVER",
        "src/peridotbend/adapters/answerwatch.py",
        "        elif not is_answer:\n",
        "        elif False:\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "dead-targets-tried-again-and-again",
        "BUDGET",
        "src/peridotbend/domain/targetreach.py",
        "        if pauses >= 0:\n",
        "        if False:\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "silent-peer-preferred",
        "RECOVER",
        "src/peridotbend/domain/pathpeers.py",
        "        self._doubted_until_ms[host, service] = until_ms\n",
        "",
        ("test_edge_paths",),
    ),
    Mutant(
        "answers-of-other-targets-hide-a-cut",
        "RECOVER",
        "src/peridotbend/domain/paths.py",
        "        return reach.is_doubtful("
        "now_ms, path.find_min_missed(now_ms, listed))\n",
        "        return False\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "doubted-target-tested-by-no-request",
        "RECOVER",
        "src/peridotbend/adapters/pathclient.py",
        "        elif await self._is_unanswering(target) and "
        "self._begin_target_trial(\n"
        "            target\n"
        "        ):\n",
        "        elif False:\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "one-request-lost-for-each-target-of-a-cut",
        "RECOVER",
        "src/peridotbend/adapters/pathclient.py",
        "                    if not is_asked and "
        "self._paths.begin_survey(service):\n",
        "                    if False:\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "full-silent-targets-never-tested",
        "RECOVER",
        "src/peridotbend/adapters/pathclient.py",
        "                await self._test_doubtful()\n",
        "",
        ("test_edge_paths",),
    ),
    Mutant(
        "slow-targets-probed-again-and-again",
        "BUDGET",
        "src/peridotbend/domain/targetreach.py",
        "        self.hold_ms = max(hold_ms, FIRST_HOLD_MS)\n",
        "        self.hold_ms = 0\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "peer-passed-over-for-a-whole-service",
        "RECOVER",
        "src/peridotbend/adapters/pathserver.py",
        "                state=pb.UNREACHABLE, detail=",
        "                state=pb.UNABLE, detail=",
        ("test_edge_paths",),
    ),
    Mutant(
        "dead-peer-blamed-on-the-target",
        "RECOVER",
        "src/peridotbend/adapters/targets.py",
        "        blames_target=not isinstance(error, PeerLostError),\n",
        "        blames_target=True,\n",
        ("test_edge_paths",),
    ),
    Mutant(
        "places-of-brittle-targets-not-divided",
        "LIMIT",
        EDGE + "brittle.py",
        "        return own >= part + (place < rest)\n",
        "        return False\n",
        ("test_edge_brittle",),
    ),
    Mutant(
        "late-request-passed-on",
        "LOST",
        "src/peridotbend/edgenode.py",
        "        self._app.is_refusing = True\n",
        "",
        ("test_edge_processes",),
    ),
    Mutant(
        "served-requests-cut-at-the-end",
        "LOST",
        "src/peridotbend/edgenode.py",
        "            self._relay.end_all()\n",
        "",
        ("test_edge_processes",),
    ),
    Mutant(
        "silent-peers-waited-for",
        "CONFIG",
        EDGE + "feeds.py",
        "HEDGE_DELAY_MS = 200",
        "HEDGE_DELAY_MS = 20_000",
        ("test_edge_feeds",),
    ),
    Mutant(
        "lost-store-waited-for",
        "CONFIG",
        EDGE + "feeds.py",
        "WATCH_WAIT_MS if self.is_store_reachable else 0",
        "WATCH_WAIT_MS * 2",
        (
            "test_edge_returns.StoreReturnTest.test_instance_alone_does_not_wait_"
            "for_a_lost_watch",
        ),
    ),
    Mutant(
        "substitutes-call-on",
        "CONFIG",
        EDGE + "readerrole.py",
        "SUBSTITUTE_RETRY_MS = (2_000, 4_000)",
        "SUBSTITUTE_RETRY_MS = (50, 500)",
        ("test_edge_returns.StoreLoadTest",),
    ),
    Mutant(
        "take-up-from-an-old-list",
        "ORDER",
        EDGE + "origins.py",
        "is_current = await self.confirm_targets()",
        "is_current = True",
        ("test_edge_versions",),
    ),
    Mutant(
        "lag-of-peers-ignored",
        "ORDER",
        EDGE + "versions.py",
        "VIEW_LAG_MS = 2_000",
        "VIEW_LAG_MS = 500",
        ("test_edge_versions",),
    ),
    Mutant(
        "leaving-not-believed",
        "DRAIN",
        EDGE + "targets.py",
        "return bool(runs) and target.run_hash in runs",
        "return False",
        ("test_edge_notices",),
    ),
    Mutant(
        "leaving-not-told",
        "DRAIN",
        EDGE + "sharedstate.py",
        "self._targets.merge_leaving(digest.leaving)",
        "pass",
        ("test_edge_notices",),
    ),
    Mutant(
        "pause-ignored",
        "BUDGET",
        EDGE + "targetpauses.py",
        "return max(0, left_ms)",
        "return 0",
        ("test_edge_notices",),
    ),
    Mutant(
        "target-not-named",
        "ROUTE",
        "src/peridotbend/platform/runners.py",
        "(wire.EXPECT_INSTANCE, ",
        '("x-unused", ',
        ("test_edge_clients",),
    ),
    Mutant(
        "unknown-key-served",
        "ROUTE",
        EDGE + "admission.py",
        "            if account is None:\n"
        "                return NotRun(Reason.UNKNOWN_KEY)",
        "",
        ("test_edge_relay",),
    ),
    Mutant(
        "gate-left-open",
        "DRAIN",
        EDGE + "sends.py",
        "if not self._dependencies.targets.is_current(target):",
        "if False:",
        ("test_edge_relay", "test_edge_oracle"),
    ),
    Mutant(
        "leaving-target-listed",
        "DRAIN",
        EDGE + "targets.py",
        "and not target.is_leaving\n                and target.zone",
        "and target.zone",
        ("test_edge_decisions",),
    ),
    Mutant(
        "evacuated-target-listed",
        "EVAC",
        EDGE + "targets.py",
        "and target.zone not in evacuated",
        "",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "gate-open-to-an-evacuated-zone",
        "EVAC",
        EDGE + "targets.py",
        "and known.zone not in self.evacuated",
        "",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "evacuated-service-waited-for",
        "EVAC",
        EDGE + "backlog.py",
        "is_evacuated = self._targets.is_evacuated(service)",
        "is_evacuated = False",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "lost-evacuation-dropped",
        "EVAC",
        EDGE + "evacuations.py",
        "if now_ms < due_ms:",
        "if False:",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "evacuations-kept-like-versions",
        "EVAC",
        EDGE + "published.py",
        "return self._is_versioned and any(item.order[0] for item in items)",
        "return self._is_versioned",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "past-evacuations-ignored",
        "ORDER",
        EDGE + "targethistory.py",
        "zones.add(self._find_zone(item.key))",
        "pass",
        ("test_edge_evacuations",),
    ),
    Mutant(
        "ready-while-draining",
        "DRAIN",
        "src/peridotbend/edgenode.py",
        "return has_config and has_feeds"
        " and not self._drain_requested.is_set()",
        "return has_config and has_feeds",
        ("test_edge_processes",),
    ),
    Mutant(
        "peers-spending-ignored",
        "QUOTA",
        EDGE + "allowances.py",
        "                bucket.level -= spent\n",
        "",
        ("test_edge_budgets", "test_edge_shares"),
    ),
    Mutant(
        "whole-allowance-in-a-partition",
        "QUOTA",
        EDGE + "allowances.py",
        "if bucket.live_share >= 1:",
        "if True:",
        ("test_edge_budgets", "test_edge_shares"),
    ),
    Mutant(
        "full-bucket-at-each-start",
        "QUOTA",
        EDGE + "allowances.py",
        "            bucket.level = level\n        elif",
        "            pass\n        elif",
        ("test_edge_budgets", "test_edge_shares"),
    ),
    Mutant(
        "ready-without-the-lists",
        "RECOVER",
        "src/peridotbend/edgenode.py",
        "return has_config and has_feeds"
        " and not self._drain_requested.is_set()",
        "return not self._drain_requested.is_set()",
        ("test_edge_failures",),
    ),
    Mutant(
        "rank-ignored",
        "Starved",
        EDGE + "backlog.py",
        "return self.criteria.rank, self.sequence",
        "return (0, 0), self.sequence",
        ("test_edge_decisions",),
    ),
    Mutant(
        "stream-joined-from-two-versions",
        "ORDER",
        EDGE + "selection.py",
        "return self.software is None or target.software == self.software",
        "return True",
        ("test_edge_versions",),
    ),
    Mutant(
        "streams-placed-by-load",
        "ORDER",
        EDGE + "relay.py",
        "if not request.route.is_resumable_stream:\n            return None\n"
        "        return self._dep",
        "if True:\n            return None\n        return self._dep",
        ("test_edge_versions",),
    ),
    Mutant(
        "lost-history-trusted",
        "ORDER",
        EDGE + "origins.py",
        "if len(placed) != 1 or not (is_covered and is_observed):",
        "if len(placed) != 1 or not is_covered:",
        ("test_edge_versions",),
    ),
    Mutant(
        "kept-prompt-taken-for-proof",
        "ORDER",
        EDGE + "origins.py",
        "or self._timeline.has_lost_target(service, version, since_ms)",
        "",
        ("test_edge_versions",),
    ),
    Mutant(
        "silence-taken-for-an-empty-memory",
        "ORDER",
        EDGE + "promptparts.py",
        "frozenset(silent | holders.keys())",
        "frozenset(holders.keys())",
        ("test_edge_versions",),
    ),
    Mutant(
        "witnesses-not-asked",
        "LOST",
        EDGE + "origins.py",
        "told = await self.witnesses.ask(call.resumes)",
        "told = None",
        ("test_edge_origins.WitnessTest",),
    ),
    Mutant(
        "moved-streams-not-told",
        "LOST",
        EDGE + "origins.py",
        "if chosen != stream.software and not stream.is_uncertain:",
        "if False:",
        ("test_edge_origins.WitnessTest",),
    ),
    Mutant(
        "targets-not-asked",
        "LOST",
        EDGE + "promptparts.py",
        "if not part:",
        "if True:",
        ("test_edge_versions",),
    ),
    Mutant(
        "older-build-trusted",
        "ORDER",
        EDGE + "origins.py",
        "if call.resumes and not self.has_legacy_peers():",
        "if call.resumes:",
        ("test_edge_versions",),
    ),
    Mutant(
        "lost-instance-trusted",
        "ORDER",
        EDGE + "origins.py",
        "since_ms = min(since_ms, self._lost_at_ms)",
        "pass",
        ("test_edge_versions",),
    ),
    Mutant(
        "error-inside-a-stream",
        "MIXED",
        EDGE + "delivery.py",
        "if is_success and answer.is_event_stream:",
        "if answer.is_event_stream:",
        ("test_edge_answers", "test_edge_streams"),
    ),
    Mutant(
        "whole-answer-on-a-streaming-route",
        "ORDER",
        EDGE + "delivery.py",
        "if status < FAILURE_STATUS or request.head_sent:",
        "if request.head_sent:",
        ("test_edge_answers",),
    ),
    Mutant(
        "stream-ended-before-its-first-event",
        "ORDER",
        EDGE + "delivery.py",
        "return _EMPTY_STREAM",
        "return None",
        ("test_edge_answers",),
    ),
    Mutant(
        "stream-ended-by-one-target",
        "ORDER",
        EDGE + "delivery.py",
        "if len(request.empty_targets) < MIN_EMPTY_TARGETS:",
        "if False:",
        ("test_edge_answers",),
    ),
    Mutant(
        "length-of-one-run-kept",
        "ORDER",
        EDGE + "delivery.py",
        "head = _drop_length(answer.head)",
        "head = answer.head",
        ("test_edge_trouble",),
    ),
    Mutant(
        "first-of-two-types",
        "ORDER",
        "src/peridotbend/domain/streams.py",
        "all(map(_is_event_stream_type, types))",
        "_is_event_stream_type(types[0])",
        ("test_edge_answers",),
    ),
    Mutant(
        "any-status-passed",
        "MIXED",
        "src/peridotbend/platform/runners.py",
        "if not head.has_final_status:",
        "if False:",
        ("test_edge_clients",),
    ),
    Mutant(
        "promise-without-a-rejection",
        "REFUSED",
        EDGE + "delivery.py",
        "if answer.head.status in NOT_RUN_STATUSES:",
        "if False:",
        ("test_edge_heads",),
    ),
    Mutant(
        "control-character-passed",
        "MIXED",
        "src/peridotbend/adapters/targets.py",
        "if any(_CONTROL_CHARACTER.search(value)",
        "if any(False",
        ("test_edge_heads",),
    ),
    Mutant(
        "first-of-two-stamps",
        "MIXED",
        "src/peridotbend/platform/runners.py",
        'if len(stamps) != 1 or "" in stamps:',
        "if not stamps:",
        ("test_edge_heads",),
    ),
    Mutant(
        "length-beside-chunks-kept",
        "MIXED",
        "src/peridotbend/adapters/targets.py",
        '_DROPPED_WITH_CHUNKS = _HOP_BY_HOP | {"content-length"}',
        "_DROPPED_WITH_CHUNKS = _HOP_BY_HOP",
        ("test_edge_heads",),
    ),
    Mutant(
        "numbers-without-a-bound",
        "LIMIT",
        "src/peridotbend/platform/runners.py",
        "return count if 0 <= count <= MAX_COUNT else None",
        "return count if 0 <= count else None",
        ("test_edge_heads",),
    ),
    Mutant(
        "failure-taken-for-a-crash",
        "LOST",
        EDGE + "delivery.py",
        "_make_no_stream_error(answer), answer.head, True",
        "_make_no_stream_error(answer), answer.head",
        ("test_edge_answers",),
    ),
    Mutant(
        "foreign-bytes-taken-for-a-crash",
        "LOST",
        EDGE + "sends.py",
        "is_broken = error.failure is CallFailure.BROKEN",
        "is_broken = True",
        ("test_edge_answers",),
    ),
    Mutant(
        "trailers-kept",
        "MIXED",
        "src/peridotbend/adapters/boundedconnections.py",
        "        if self._reading_headers:\n"
        "            super().on_header(name, value)\n",
        "        super().on_header(name, value)\n",
        ("test_endless_processes.EndlessCallerTest",),
    ),
    Mutant(
        "body-behind-an-offer-dropped",
        "UNASKED",
        "src/peridotbend/adapters/boundedconnections.py",
        "                self.parser.feed_data(head)\n",
        "                return\n",
        ("test_caller_framing.OfferTest",),
    ),
    Mutant(
        "chunk-extensions-without-a-bound",
        "LOST",
        "src/peridotbend/adapters/boundedconnections.py",
        "if self._framing_bytes > self._limits.max_header_bytes:",
        "if False:",
        ("test_endless_processes.EndlessCallerTest",),
    ),
    Mutant(
        "idle-connections-keep-their-places",
        "RECOVER",
        "src/peridotbend/adapters/waitingconnections.py",
        "latest_ms = self._clock.now_ms() - MIN_WAIT_MS",
        "latest_ms = -1",
        ("test_serving", "test_halfopen_processes"),
    ),
    Mutant(
        "answer-that-is-sent-makes-room",
        "LOST",
        "src/peridotbend/adapters/boundedconnections.py",
        "if self.transport.get_write_buffer_size() or (",
        "if False or (",
        ("test_serving",),
    ),
    Mutant(
        "body-without-a-time-limit",
        "RECOVER",
        "src/peridotbend/platform/ingress.py",
        "return limit_ms / 1_000",
        "return 1e9",
        ("test_slowbodies_processes",),
    ),
    Mutant(
        "stopped-bodies-keep-the-memory",
        "RECOVER",
        "src/peridotbend/adapters/bodyintake.py",
        "latest_ms = self._clock.now_ms() - MIN_ARRIVAL_MS",
        "latest_ms = -1",
        ("test_edge_platform.BodyTest", "test_slowbodies_processes"),
    ),
    Mutant(
        "store-answer-without-a-bound",
        "LOST",
        "src/peridotbend/platform/store.py",
        "if len(body) > MAX_ANSWER_BYTES:",
        "if False:",
        ("test_endless_processes.EndlessStoreTest",),
    ),
    Mutant(
        "revision-of-any-size",
        "Fault",
        "src/peridotbend/platform/store.py",
        "return 0 <= value <= MAX_REVISION",
        "return True",
        ("test_stories_processes.MalformedMessageTest",),
    ),
    Mutant(
        "hosts-that-are-no-address",
        "Fault",
        "src/peridotbend/adapters/gossip.py",
        "except (OSError, ValueError):",
        "except ZeroDivisionError:",
        ("test_stories_processes.MalformedMessageTest",),
    ),
    Mutant(
        "ages-of-any-size",
        "Fault",
        "src/peridotbend/adapters/digests.py",
        "return min(units, MAX_AGE_UNITS) * AGE_UNIT_MS",
        "return units * AGE_UNIT_MS",
        ("test_edge_peers.DigestTest",),
    ),
    Mutant(
        "removal-before-the-first-copy-forgotten",
        "DRAIN",
        EDGE + "published.py",
        "if known is None and self._is_removed(item):",
        "if False:",
        (
            "test_edge_peers.PublishedItemsTest",
            "test_stories_processes.RestartTest",
        ),
    ),
    Mutant(
        "ready-before-a-peer-was-asked",
        "CONFIG",
        "src/peridotbend/edgenode.py",
        "has_feeds = self._has_asked_others() and all(",
        "has_feeds = all(",
        ("test_stories_processes.RestartTest",),
    ),
    Mutant(
        "drip-taken-for-progress",
        "LOST",
        EDGE + "delivery.py",
        "            events = request.events.feed(chunk.ok_value)\n",
        "            events = request.events.feed(chunk.ok_value)\n"
        "            tracked_send.note_data(self._clock.now_ms())\n",
        ("test_stories.StreamPaceTest",),
    ),
    Mutant(
        "slow-stream-taken-for-stalled",
        "LOST",
        EDGE + "inflight.py",
        "STREAM_SILENCE_TIMEOUT_MS = 800",
        "STREAM_SILENCE_TIMEOUT_MS = 300",
        ("test_stories.StreamPaceTest",),
    ),
    Mutant(
        "empty-lines-taken-one-by-one",
        "LOST",
        EDGE + "events.py",
        '_EMPTY_BLOCKS = re.compile(rb"',
        '_EMPTY_BLOCKS = re.compile(rb"(?!)',
        ("test_edge_events.ForeignBytesTest",),
    ),
    Mutant(
        "refusal-of-no-attempt",
        "REFUSED",
        "src/peridotbend/platform/runners.py",
        "if not answered_attempts and head.is_reused_connection:",
        "if False:",
        ("test_edge_clients",),
    ),
    Mutant(
        "end-of-a-dead-target-believed",
        "ORDER",
        EDGE + "delivery.py",
        "if not await self._outlives(target, answer.head):",
        "if False:",
        ("test_edge_restarts.DyingTargetTest",),
    ),
    Mutant(
        "begin-not-confirmed",
        "ORDER",
        EDGE + "relay.py",
        "return await self._dependencies.origins.wait_confirmed(",
        "return True or await self._dependencies.origins.wait_confirmed(",
        ("test_edge_restarts.UnlistedRestartTest",),
    ),
    Mutant(
        "resumed-send-unchecked",
        "ORDER",
        EDGE + "sends.py",
        "                request.is_resumed\n"
        "                or runs.is_doubtful(target)\n",
        "                False\n",
        ("test_edge_restarts.UnlistedRestartTest",),
    ),
    Mutant(
        "begin-unchecked-among-versions",
        "ORDER",
        EDGE + "sends.py",
        "or timeline.has_versions(target.service)",
        "or False",
        ("test_edge_restarts_review.SeveralVersionsTest",),
    ),
    Mutant(
        "early-close-unnoticed",
        "ORDER",
        "src/peridotbend/adapters/connections.py",
        "if stream.has_ended and is_early:",
        "if False:",
        ("test_connections",),
    ),
    Mutant(
        "idle-timeout-taken-for-an-end",
        "LOST",
        "src/peridotbend/adapters/connections.py",
        "return now_ms < until_ms - EARLY_CLOSE_MARGIN_MS",
        "return True",
        ("test_connections",),
    ),
    Mutant(
        "version-forgotten-with-its-last-target",
        "ORDER",
        EDGE + "versions.py",
        "since_ms = self._clock.now_ms() - KEPT_MS\n        return len(",
        "since_ms = self._clock.now_ms() + 1\n        return len(",
        ("test_edge_runs.InPlaceChangeTest",),
    ),
    Mutant(
        "take-up-by-old-entries",
        "ORDER",
        EDGE + "origins.py",
        "            if runs.others:\n",
        "            if False:\n",
        ("test_edge_restarts.UnlistedRestartTest",),
    ),
    Mutant(
        "unconfirmed-version-told",
        "ORDER",
        EDGE + "originpeers.py",
        "        if is_recorded:\n",
        "        if True:\n",
        ("test_edge_restarts.UnlistedRestartTest",),
    ),
    Mutant(
        "older-connection-taken-for-the-next-run",
        "ORDER",
        EDGE + "targetruns.py",
        "if run is not None and connected_at_ms < run.since_ms:",
        "if False:",
        ("test_edge_runs",),
    ),
    Mutant(
        "silence-taken-for-a-death",
        "ORDER",
        EDGE + "targetruns.py",
        "is_alive = state is RunState.LIVES",
        "is_alive = state is not RunState.REPLACED",
        ("test_edge_runs",),
    ),
    Mutant(
        "answer-without-a-start-believed",
        "ORDER",
        EDGE + "targetruns.py",
        "if told_ms is None or not target.started_at_ms:\n"
        "            return RunState.UNNAMED",
        "if told_ms is None or not target.started_at_ms:\n"
        "            return RunState.LIVES",
        ("test_edge_runs", "test_edge_reports"),
    ),
    Mutant(
        "death-without-a-witness-believed",
        "ORDER",
        EDGE + "targetruns.py",
        "is_alive = state is RunState.LIVES",
        "is_alive = state in (RunState.LIVES, RunState.GONE)",
        ("test_edge_runs", "test_edge_restarts_review"),
    ),
    Mutant(
        "connection-vouches-for-itself",
        "ORDER",
        EDGE + "targetruns.py",
        "if self.is_proven(target, connected_at_ms):\n"
        "            self._get_run",
        "if True:\n            self._get_run",
        ("test_edge_runs",),
    ),
    Mutant(
        "nothing-between-two-entries",
        "ORDER",
        EDGE + "targetruns.py",
        "return BeginEvidence.SOFTWARE if is_proven",
        "return BeginEvidence.SOFTWARE if True",
        ("test_edge_runs",),
    ),
    Mutant(
        "take-up-placed-beside-a-dead-target",
        "ORDER",
        EDGE + "origins.py",
        "elif is_open and call.resumes",
        "elif False and call.resumes",
        ("test_edge_restarts_review.UnlistedProcessTest",),
    ),
    Mutant(
        "old-answer-taken-for-one-to-a-survey",
        "ORDER",
        EDGE + "targetruns.py",
        "if run.state is None or run.asked_ms < since_ms:",
        "if run.state is None:",
        ("test_edge_evidence_review.SurveyTest",),
    ),
    Mutant(
        "missing-answer-taken-for-none",
        "ORDER",
        EDGE + "originpeers.py",
        "return self._is_told(key)",
        "return True",
        ("test_edge_evidence_review.LiveWitnessTest",),
    ),
    Mutant(
        "take-up-placed-beside-a-removed-target",
        "ORDER",
        EDGE + "origins.py",
        "bool(runs.unanswered) or self._timeline.has_lost_target(",
        "bool(runs.unanswered) and self._timeline.has_lost_target(",
        ("test_edge_evidence_review.UnlistedTakeUpTest",),
    ),
    Mutant(
        "list-read-once",
        "ORDER",
        EDGE + "targetruns.py",
        "for wait_ms in (max(0, left_ms), READ_AGAIN_MS):",
        "for wait_ms in (max(0, left_ms),):",
        ("test_edge_evidence_review.ListingProofTest",),
    ),
    Mutant(
        "rest-sent-to-an-unnamed-process",
        "ORDER",
        EDGE + "targetruns.py",
        "return not self.must_know",
        "return True",
        ("test_edge_reports",),
    ),
    Mutant(
        "version-of-a-later-entry",
        "ORDER",
        EDGE + "targets.py",
        "if known is not None and is_same_run:",
        "if False:",
        ("test_edge_runs",),
    ),
    Mutant(
        "listing-believed-after-an-outage",
        "ORDER",
        EDGE + "feeds.py",
        "if as_of_ms >= self._unsettled_until_ms:",
        "if True:",
        ("test_edge_feeds",),
    ),
    Mutant(
        "death-cleared-by-the-next-process",
        "BUDGET",
        EDGE + "delivery.py",
        "target, 0 if is_proven else connected_at_ms",
        "target, 0",
        ("test_edge_runs",),
    ),
    Mutant(
        "idle-input-kept",
        "none",
        "src/peridotbend/adapters/connections.py",
        "        stream.on_input = close\n",
        "",
        ("test_connections",),
    ),
)


_process_tests_lock = threading.Lock()


def _run_tests(
    copy: pathlib.Path, tests: tuple[str, ...], timeout_s: int = TEST_TIMEOUT_S
) -> str | None:
    """Returns the tests that fail in a copy of the tree, or None."""
    starts_processes = any(
        name.partition(".")[0] in PROCESS_TESTS for name in tests
    )
    with _process_tests_lock if starts_processes else contextlib.nullcontext():
        result = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", "tests", *tests],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": str(copy / "src")},
            capture_output=True,
            text=True,
            timeout=timeout_s,
        )
    if result.returncode == 0:
        return None
    failing = {
        line.partition("(")[2].partition(")")[0].partition(".")[2]
        for line in result.stderr.splitlines()
        if line.startswith(("FAIL:", "ERROR:"))
    }
    return ", ".join(sorted(failing)) or "an import error"


def _copy_tree(folder: str) -> pathlib.Path:
    copy = pathlib.Path(folder) / "copy"
    shutil.copytree(
        ROOT,
        copy,
        ignore=shutil.ignore_patterns("__pycache__", ".git", "journal"),
    )
    return copy


def run_mutant(mutant: Mutant) -> str:
    """Returns which tests killed the mutant, or why none did."""
    source = (ROOT / mutant.path).read_text(encoding="utf-8")
    if mutant.old not in source:
        return "text not found"
    with tempfile.TemporaryDirectory() as folder:
        copy = _copy_tree(folder)
        mutated = source.replace(mutant.old, mutant.new)
        (copy / mutant.path).write_text(mutated, encoding="utf-8")
        try:
            failing = _run_tests(copy, mutant.tests)
        except subprocess.TimeoutExpired:
            return "killed by a hang"
    return f"killed by {failing}" if failing else "ALIVE"


def check_baseline(tests: set[str]) -> str | None:
    """Returns the tests that fail on the unchanged source, or None."""
    with tempfile.TemporaryDirectory() as folder:
        return _run_tests(
            _copy_tree(folder), tuple(sorted(tests)), BASELINE_TIMEOUT_S
        )


def main() -> None:
    """Tests the mutants named as arguments, or all."""
    requested = set(sys.argv[1:])
    selected = [m for m in MUTANTS if not requested or m.name in requested]
    failing = check_baseline({test for m in selected for test in m.tests})
    if failing:
        sys.exit(f"tests fail on the unchanged source: {failing}")
    survivors = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MUTANTS) as pool:
        for mutant, result in zip(
            selected, pool.map(run_mutant, selected), strict=True
        ):
            print(f"{mutant.rule:8} {mutant.name}: {result}", flush=True)
            survivors += not result.startswith("killed by")
    sys.exit(1 if survivors else 0)


if __name__ == "__main__":
    main()
