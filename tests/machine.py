"""The state machine that drives a simulated fleet at random."""

import dataclasses
import json

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from peridotbend.domain.records import CallerCall
from peridotbend.domain.requestids import parse_request_id
from tests.fakes import CHAT, ENTRY_ZONES, SimNode, World
from tests.faketargets import PLANS
from tests.oracle import Caller, Oracle

PATHS = {"status": "/v1/status", "confirm": "/v1/confirm"}
SERVICES = {"status": "orders", "confirm": "orders"}
KINDS = ("quote", "tag", "status", "confirm")
ACCOUNTS = ("shop", "gym")
MAX_KILLS = 2
INDEX = st.integers(0, 30)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A reserved ID."""

    token: str
    account: str
    kind: str


def make_call(
    kind: str, account: str, uid: str, key: str = "", text: str = ""
) -> CallerCall:
    """Returns a request whose headers tell targets its `uid`."""
    content = text or uid
    body = json.dumps(
        {
            "model": kind,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": content}],
        }
    ).encode()
    path = PATHS.get(kind, CHAT)
    headers = (("x-uid", uid),)
    return CallerCall(account, "POST", path, headers, body, key)


class FleetMachine(RuleBasedStateMachine):
    """Callers, failures and time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.oracle = Oracle(self.world)
        self.tickets: list[Ticket] = []
        self.count = 0
        self.steps = 0

    def teardown(self) -> None:
        """Restores the fleet; then every caller must get a verdict."""
        try:
            if not self.world.faults:
                self._restore()
                self.oracle.check()
                self.oracle.check_end()
                self.oracle.check()
        finally:
            self.world.close()

    def _restore(self) -> None:
        self.heal()
        self.platform_works()
        for node in self._paused():
            self.world.loop.wake(node.process)
        for target in self.world.targets.values():
            target.plans.clear()
        # Until the last ID has expired, if need be.
        for _ in range(20):
            self.world.run_for(2_000)
            if self.oracle.is_quiet():
                return

    @initialize(seed=st.integers(0, 3))
    def start(self, seed: int) -> None:
        """Starts all instances."""
        self.world.rng.seed(seed)
        for name in ENTRY_ZONES:
            self.world.start(name)
        self.world.run_for(1_500)

    @invariant()
    def holds(self) -> None:
        """Checks the invariants."""
        self.steps += 1
        self.oracle.check()

    def _live(self, index: int) -> SimNode:
        live = self.world.live()
        return live[index % len(live)]

    def _paused(self) -> list[SimNode]:
        nodes = self.world.nodes.values()
        return [n for n in nodes if n.process.stopped and not n.process.dead]

    def _next_uid(self) -> str:
        self.count += 1
        return f"u{self.count}"

    def _has_live(self) -> bool:
        return bool(self.world.live())

    def _has_spare(self) -> bool:
        return len(self.world.live()) > 1

    # Callers.

    @precondition(_has_live)
    @rule(at=INDEX, kind=st.sampled_from(KINDS), account=st.sampled_from("ab"))
    def reserve(self, at: int, kind: str, account: str) -> None:
        """Reserves an ID."""
        account = ACCOUNTS["ab".index(account)]
        node = self._live(at)
        got = node.service.reserve(account, SERVICES.get(kind, "chat"), kind)
        if got.is_ok():
            token = got.unwrap().token
            self.tickets.append(Ticket(token, account, kind))

    @precondition(_has_live)
    @rule(at=INDEX, kind=st.sampled_from(KINDS), wait_ms=st.integers(0, 300))
    def call(self, at: int, kind: str, wait_ms: int) -> None:
        """Calls without an ID; kinds that need one are refused."""
        call = make_call(kind, "shop", self._next_uid())
        self.oracle.send(self._live(at), call, "shop")
        if kind == "confirm":
            self.oracle.send(self._live(at + 1), call, "shop")
        self.world.run_for(wait_ms)

    @precondition(lambda self: self.tickets and self._has_live())
    @rule(
        at=INDEX,
        which=INDEX,
        copies=st.integers(1, 3),
        wait_ms=st.integers(0, 300),
    )
    def call_reserved(
        self, at: int, which: int, copies: int, wait_ms: int
    ) -> None:
        """Sends a reserved request, for the first time or again."""
        ticket = self.tickets[-1 - which % len(self.tickets)]
        uid = f"r{self.tickets.index(ticket)}"
        call = make_call(ticket.kind, ticket.account, uid, ticket.token)
        for copy in range(copies):
            self.oracle.send(self._live(at + copy), call, ticket.account)
        self.world.run_for(wait_ms)

    @precondition(lambda self: self.tickets and self._has_live())
    @rule(at=INDEX, which=INDEX)
    def reuse_id(self, at: int, which: int) -> None:
        """Sends another body, or another account, with a used ID."""
        ticket = self.tickets[which % len(self.tickets)]
        uid = self._next_uid()
        if which % 2:
            call = make_call(ticket.kind, ticket.account, uid, ticket.token)
            self.oracle.send(self._live(at), call, ticket.account)
            self.tickets.remove(ticket)
        else:
            call = make_call(ticket.kind, "thief", uid, ticket.token)
            self.oracle.send(self._live(at), call, ticket.account)
        self.world.run_for(5)

    def _known(self) -> list[Caller]:
        return [c for c in self.oracle.callers if c.token and c.call]

    @precondition(lambda self: self._known() and self._has_live())
    @rule(at=INDEX, which=INDEX, wait_ms=st.integers(0, 200))
    def resend(self, at: int, which: int, wait_ms: int) -> None:
        """Sends a request again through any instance."""
        known = self._known()
        first = known[-1 - which % len(known)]
        assert first.call is not None
        call = dataclasses.replace(first.call, key=first.token)
        self.oracle.send(self._live(at), call, first.owner)
        self.world.run_for(wait_ms)

    @precondition(lambda self: self._known() and self._has_live())
    @rule(
        at=INDEX, which=INDEX, offset=st.integers(0, 250), other=st.booleans()
    )
    def fetch(self, at: int, which: int, offset: int, other: bool) -> None:
        """Fetches an answer through any instance, perhaps of another."""
        known = self._known()
        first = known[-1 - which % len(known)]
        account = "thief" if other else first.owner
        node = self._live(at)
        self.oracle.fetch(node, first.token, account, first.owner, offset)
        self.world.run_for(20)

    @precondition(lambda self: self.tickets and self._has_live())
    @rule(at=INDEX, which=INDEX)
    def forge(self, at: int, which: int) -> None:
        """Sends an ID that nobody minted."""
        token = self.tickets[which % len(self.tickets)].token
        middle = len(token) // 2
        letter = "A" if token[middle] != "A" else "B"
        forged = token[:middle] + letter + token[middle + 1 :]
        call = make_call("confirm", "shop", self._next_uid(), forged)
        node, request_id = self._live(at), parse_request_id(forged)
        caller = self.oracle.send(node, call, "shop")
        caller.forged = (
            request_id is not None
            and request_id.incarnation == node.incarnation
            and node.store.version() > 0
        )
        self.world.run_for(5)

    @precondition(lambda self: self.oracle.callers)
    @rule(which=INDEX)
    def leave(self, which: int) -> None:
        """A caller closes its connection."""
        callers = self.oracle.callers
        caller = callers[-1 - which % len(callers)]
        if caller.verdict is None:
            self.oracle.leave(caller)

    @precondition(_has_live)
    @rule(at=INDEX, number=st.integers(5, 20))
    def burst(self, at: int, number: int) -> None:
        """Many tags and a few quotes at one instance."""
        node = self._live(at)
        for n in range(number):
            kind = "quote" if n % 5 == 4 else "tag"
            call = make_call(kind, "gym", self._next_uid())
            self.oracle.send(node, call, "gym")
        self.world.run_for(100)

    @precondition(_has_live)
    @rule(at=INDEX)
    def send_crasher(self, at: int) -> None:
        """Sends a request that kills targets again and again."""
        self.count += 1
        text = f"crash {self.count}"
        for copy in range(4):
            if not self._has_live():
                return
            call = make_call("quote", "shop", self._next_uid(), text=text)
            self.oracle.send(self._live(at + copy), call, "shop")
            self.world.run_for(2_500)
            self._restart_dead()
            self.world.run_for(300)
        kills = self.world.crashes[call.body]
        if not self.world.cuts and kills > MAX_KILLS:
            self.world.faults.append(f"one request killed {kills} targets")

    def _restart_dead(self) -> None:
        for target in self.world.targets.values():
            if not target.up:
                target.restart()
        self.world.platform.revision += 1

    # Failures.

    @rule(ms=st.sampled_from([1, 20, 150, 500, 1_500, 3_500, 7_000, 31_000]))
    def advance(self, ms: int) -> None:
        """Lets time pass."""
        self.world.run_for(ms)

    @precondition(_has_spare)
    @rule(at=INDEX)
    def kill(self, at: int) -> None:
        """Kills an instance."""
        node = self._live(at)
        self.oracle.forget_drain(node)
        self.world.kill(node)

    @rule()
    def restart(self) -> None:
        """Starts the instances that ended, under their old names."""
        for name, node in sorted(self.world.nodes.items()):
            if node.process.dead:
                self.world.start(name)
        self.world.run_for(1_000)

    @precondition(_has_spare)
    @rule(at=INDEX, ms=st.sampled_from([100, 2_000, 9_000, 40_000]))
    def pause(self, at: int, ms: int) -> None:
        """Pauses an instance, perhaps beyond every timeout."""
        node = self._live(at)
        self.oracle.forget_drain(node)
        node.process.stopped = True
        self.world.note_move()
        self.world.run_for(ms)

    @precondition(lambda self: self._paused())
    @rule(ms=st.integers(0, 300))
    def wake(self, ms: int) -> None:
        """Lets paused instances go on."""
        for node in self._paused():
            self.world.loop.wake(node.process)
            node.started_ms = self.world.clock.now_ms()
        self.world.note_move()
        self.world.run_for(ms)

    @rule()
    def cut(self) -> None:
        """Cuts the zones off from each other."""
        self.world.cut("z1", "z2")

    @rule()
    def heal(self) -> None:
        """Joins the zones again."""
        self.world.heal()

    @precondition(_has_spare)
    @rule(
        at=INDEX,
        lose=st.booleans(),
        load=st.integers(0, 6),
        ms=st.sampled_from([0, 100, 1_000, 6_000]),
    )
    def shut_down(self, at: int, lose: bool, load: int, ms: int) -> None:
        """Shuts an instance down; the hand-over's reply may be lost."""
        node = self._live(at)
        if node.service.draining:
            return
        for n in range(load):
            got = node.service.reserve("shop", "chat", "quote")
            key = got.unwrap().token if got.is_ok() else ""
            call = make_call("quote", "shop", self._next_uid(), key)
            through = self._live(at + (n % 2) * bool(key))
            self.oracle.send(through, call, "shop")
        self.world.run_for(10 * load)
        self.world.lost_replies = {"HandOver"} if lose else set()
        self.oracle.drain(node)
        self.world.run_for(ms)

    @rule(
        which=st.sampled_from(["m1", "m2", "o1", "o2"]),
        plan=st.sampled_from(PLANS),
    )
    def plan(self, which: str, plan: str) -> None:
        """Lets a target fail its next request in some way."""
        self.world.targets[which].plans.append(plan)

    @rule(which=st.sampled_from(["m1", "m2", "o1", "o2"]))
    def restart_target(self, which: str) -> None:
        """Restarts a target."""
        self.world.targets[which].restart()
        self.world.platform.revision += 1

    @rule(which=st.sampled_from(["m1", "o1", "o2"]))
    def target_leaves(self, which: str) -> None:
        """The platform announces that a target leaves."""
        self.world.targets[which].leaving = True
        self.world.platform.revision += 1

    @rule()
    def new_text(self) -> None:
        """The platform publishes a new text."""
        self.world.platform.version += 1
        self.oracle.text_ms = self.world.clock.now_ms()

    @rule(down=st.booleans(), back=st.integers(0, 2))
    def platform_fails(self, down: bool, back: int) -> None:
        """The platform goes down, or serves an old text."""
        platform = self.world.platform
        platform.down = down
        platform.stale_version = max(1, platform.version - back)
        self.oracle.text_ms = self.world.clock.now_ms()

    @rule()
    def platform_works(self) -> None:
        """The platform works again."""
        self.world.platform.down = False
        self.world.platform.stale_version = 0
        self.oracle.text_ms = self.world.clock.now_ms()
