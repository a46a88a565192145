"""Checks what callers were told against what targets ran."""

import dataclasses
import json
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

from peridotbend.domain.ports import AnswerPart, RecordState
from peridotbend.domain.records import CallerCall
from peridotbend.domain.verdicts import (
    Completed,
    MayHaveRun,
    NotRun,
    Reason,
    Verdict,
)
from tests.fakenode import CHAT, MAX_ANSWER_BYTES, MAX_RECORDS, SimNode
from tests.fakes import World

# Time in which linked instances must agree on the newest configuration.
CONFIG_SPREAD_LIMIT_MS = 3_000
PATHS = {"status": "/v1/status", "confirm": "/v1/confirm"}
# Reasons that a shutdown must not give to the callers of a dispatched request.
INTERRUPTED_REASONS = (
    Reason.HANDED_OVER,
    Reason.MINTER_UNREACHABLE,
    Reason.FORGOTTEN,
    Reason.UNKNOWN_REQUEST,
)


@dataclasses.dataclass(slots=True, eq=False)
class Caller:
    """One connection of a caller, and the answer that it received."""

    node: SimNode
    account: str
    # The account that made the request. A different `account` must not get the
    # answer.
    owner: str
    # Identifies the request in a header that targets record; "" for a fetch.
    uid: str = ""
    token: str = ""
    offset: int = 0
    status: int = 0
    data: bytes = b""
    verdict: Verdict | None = None
    # The call as it was sent, from which copies are made.
    call: CallerCall | None = None
    task: Any = None
    disconnected: bool = False
    # True for a forged ID that was sent to its supposed minter.
    forged: bool = False
    began_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Drain:
    node: SimNode
    task: Any
    callers: list[Caller]
    dispatched: frozenset[str]
    began_ms: int
    ended_ms: int | None = None


class Oracle:
    """Sends requests to a simulated fleet and checks the invariants."""

    def __init__(self, world: World):
        self.world = world
        self.callers: list[Caller] = []
        self.drains: list[_Drain] = []
        self._versions: dict[int, int] = {}
        self._uids_not_run: set[str] = set()
        self._tokens_not_run: set[str] = set()
        self.config_changed_ms = world.clock.now_ms()
        self.fragile: set[str] = set()

    # Callers.

    def send(self, node: SimNode, call: CallerCall, owner: str) -> Caller:
        """Sends a request through an instance."""
        uid = dict(call.headers)["x-uid"]
        caller = Caller(node, call.account, owner, uid, call.key, call=call)
        self._attach(caller, node.service.serve(call))
        return caller

    def fetch(
        self, node: SimNode, token: str, account: str, owner: str, offset: int
    ) -> Caller:
        """Fetches an answer through an instance."""
        caller = Caller(node, account, owner, token=token, offset=offset)
        self._attach(caller, node.service.fetch(token, account, offset))
        return caller

    def disconnect(self, caller: Caller) -> None:
        """Closes the connection of a caller before its answer is complete."""
        caller.disconnected = True
        caller.task.cancel()

    def _attach(self, caller: Caller, parts: Any) -> None:
        self.callers.append(caller)
        caller.began_ms = self.world.clock.now_ms()
        # The kernel accepts connections to a paused process, which serves
        # them when it is resumed.
        caller.task = self.world.loop.spawn(
            caller.node.process, self._read_answer(caller, parts)
        )

    async def _read_answer(
        self, caller: Caller, parts: AsyncIterator[AnswerPart]
    ) -> None:
        caller.node.fake_caller_server.attached += 1
        try:
            async with aclosing(parts):  # type: ignore[type-var]
                async for part in parts:
                    self._receive_part(caller, part)
        except Exception as problem:
            self.world.faults.append(f"caller: {problem!r}")
        finally:
            caller.node.fake_caller_server.attached -= 1

    def _receive_part(self, caller: Caller, part: AnswerPart) -> None:
        caller.token = part.request_id or caller.token
        if part.head is not None:
            caller.status = part.head.status
        caller.data += part.data
        if part.verdict is not None:
            if caller.verdict is not None:
                self._fail("a caller received two verdicts")
            caller.verdict = part.verdict
            self._check_verdict(caller)

    def _check_verdict(self, caller: Caller) -> None:
        verdict, answers = caller.verdict, self.world.answers
        if caller.account != caller.owner and (
            caller.status or caller.data or isinstance(verdict, Completed)
        ):
            self._fail("an answer was sent to another account")
        if isinstance(verdict, Completed):
            full_answer = answers.get(caller.token, b"")
            expected = full_answer[caller.offset :]
            if verdict.reason is not None:
                # The answer was evicted. The caller is told that its part is
                # incomplete, and that part must be a prefix of the answer.
                if caller.token not in answers or not expected.startswith(
                    bytes(caller.data)
                ):
                    self._fail("an evicted answer is not the target's answer")
            elif caller.data != expected:
                self._fail("a completed answer is not the target's answer")
        if caller.forged and verdict != NotRun(Reason.FORGED_ID):
            self._fail(f"the minter accepted a forged ID: {verdict}")
        if isinstance(verdict, NotRun):
            self._record_not_run(caller, verdict)

    def _record_not_run(self, caller: Caller, verdict: NotRun) -> None:
        if caller.uid:
            self._uids_not_run.add(caller.uid)
        else:
            self._tokens_not_run.add(caller.token)

    # Shutdown.

    def drain(self, node: SimNode) -> None:
        """Starts a graceful shutdown."""
        dispatched = frozenset(
            r.token for r in node.records if r.state is RecordState.DISPATCHED
        )
        callers = [
            c for c in self.callers if c.verdict is None and not c.disconnected
        ]
        now_ms = self.world.clock.now_ms()
        task = self.world.node_tasks[id(node)]
        self.drains.append(_Drain(node, task, callers, dispatched, now_ms))
        node.start_drain()

    def forget_drain(self, node: SimNode) -> None:
        """Drops the checks of a shutdown that was paused or killed."""
        self.drains = [d for d in self.drains if d.node is not node]

    def _check_drains(self) -> None:
        now_ms = self.world.clock.now_ms()
        for drain in list(self.drains):
            if drain.ended_ms is None and drain.task.done():
                self.world.counts["drained"] += 1
                drain.ended_ms = now_ms
                for caller in drain.callers:
                    self._check_attached(caller, drain)
            # Forwards from other instances find the successor a little later.
            if drain.ended_ms is not None and now_ms > drain.ended_ms + 2_000:
                self.drains.remove(drain)
                for caller in drain.callers:
                    self._check_dispatched(caller, drain)

    def _check_attached(self, caller: Caller, drain: _Drain) -> None:
        if caller.node is not drain.node or caller.disconnected:
            return
        if caller.verdict is None:
            self._fail("a shutdown left an attached caller unanswered")
        self._check_dispatched(caller, drain)

    def _check_dispatched(self, caller: Caller, drain: _Drain) -> None:
        # Instances beyond a cut link cannot learn of the successor.
        topology_stable = (
            self.world.topology_changed_ms <= drain.began_ms
            and not self.world.cuts
        )
        if caller.token not in drain.dispatched:
            return
        verdict = caller.verdict
        if not isinstance(verdict, MayHaveRun):
            return
        applies = topology_stable or caller.node is drain.node
        if applies and verdict.reason in INTERRUPTED_REASONS:
            self._fail(
                f"a shutdown interrupted a dispatched request: {verdict}"
            )

    # Checks after each step.

    def check(self) -> None:
        """Checks the invariants that hold at any time."""
        self._check_drains()
        world = self.world
        for token, runs in world.runs.items():
            if len(runs) > 1:
                self._fail(f"dispatched {len(runs)} times: {runs}")
            if token in self._tokens_not_run:
                self._fail("a fetch was told not-run, but the request ran")
        for runs in world.runs_by_uid.values():
            if len(runs) > 1 and runs[0].path == "/v1/confirm":
                self._fail(f"a non-idempotent request ran twice: {runs}")
        # The copies of a call share its `uid`.
        for uid in self._uids_not_run & world.runs_by_uid.keys():
            verdicts = [c.verdict for c in self.callers if c.uid == uid]
            self._fail(f"not-run was told, but request {uid} ran: {verdicts}")
        for node in world.nodes.values():
            self._check_node(node)
        self._check_config_spread()
        assert not world.faults, world.faults

    def _check_node(self, node: SimNode) -> None:
        version = node.config_store.version
        if version < self._versions.get(node.incarnation, -1):
            self._fail("a process reverted to an older configuration")
        self._versions[node.incarnation] = version
        records = node.records
        answer_bytes = sum(len(record.answer) for record in records)
        if len(records) > MAX_RECORDS or answer_bytes > MAX_ANSWER_BYTES:
            self._fail(f"{len(records)} records with {answer_bytes} bytes")
        if records.budget.used_bytes > MAX_ANSWER_BYTES:
            self._fail(f"{records.budget.used_bytes} answer bytes reserved")

    def _check_config_spread(self) -> None:
        changed_ms = max(self.world.topology_changed_ms, self.config_changed_ms)
        if self.world.clock.now_ms() - changed_ms <= CONFIG_SPREAD_LIMIT_MS:
            return
        live = self.world.list_live_nodes()
        for node in live:
            reachable_versions = [
                other.config_store.version
                for other in live
                if self.world.is_linked(node.process, other.process)
            ]
            if node.config_store.version < max(reachable_versions):
                self._fail(
                    f"configuration {node.config_store.version},"
                    f" not {max(reachable_versions)}"
                )

    def check_all_answered(self) -> None:
        """Checks that every caller of a running process got a verdict."""
        for caller in self._find_unanswered():
            name = caller.node.process.name
            self._fail(f"no verdict at {name}: {caller.uid}")

    def is_quiet(self) -> bool:
        """Tells whether no shutdown or caller is pending."""
        return not self.drains and not self._find_unanswered()

    def _find_unanswered(self) -> list[Caller]:
        return [
            caller
            for caller in self.callers
            if not caller.verdict
            and not caller.disconnected
            and not caller.node.process.dead
        ]

    def _fail(self, message: str) -> None:
        if message not in self.world.faults:
            self.world.faults.append(message)


def make_call(
    kind: str,
    account: str,
    uid: str,
    key: str = "",
    text: str = "",
    stream: bool = False,
) -> CallerCall:
    """Returns a request with a header that shows its `uid` to targets."""
    content = text or uid
    body = json.dumps(
        {
            "model": kind,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": content}],
            "stream": stream,
        }
    ).encode()
    path = PATHS.get(kind, CHAT)
    headers = (("x-uid", uid),)
    return CallerCall(account, "POST", path, headers, body, key)
