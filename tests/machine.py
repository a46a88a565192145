"""State machine that drives a simulated fleet with random steps."""

import dataclasses

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from peridotbend.domain.requestids import parse_request_id
from tests.failures import INDEX, FailureMachine, has_live_node
from tests.oracle import Caller, make_call

SERVICES = {"status": "orders", "confirm": "orders"}
KINDS = ("quote", "tag", "status", "confirm")
ACCOUNTS = ("shop", "gym")
MAX_CRASHES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A reserved request ID."""

    token: str
    account: str
    kind: str
    uid: str


class FleetMachine(FailureMachine):
    """Rules for callers, failures and the passing of time."""

    def __init__(self) -> None:
        super().__init__()
        self.reservations: list[Reservation] = []

    @precondition(has_live_node)
    @rule(at=INDEX, kind=st.sampled_from(KINDS), account=st.sampled_from("ab"))
    def reserve(self, at: int, kind: str, account: str) -> None:
        """Reserves an ID."""
        account = ACCOUNTS["ab".index(account)]
        node = self._pick_live_node(at)
        result = node.service.reserve(account, SERVICES.get(kind, "chat"), kind)
        if result.is_ok():
            token = result.unwrap().token
            uid = self._next_uid()
            self.reservations.append(Reservation(token, account, kind, uid))

    @precondition(has_live_node)
    @rule(at=INDEX, kind=st.sampled_from(KINDS), wait_ms=st.integers(0, 300))
    def call(self, at: int, kind: str, wait_ms: int) -> None:
        """Sends a request without an ID; kinds that need one are refused."""
        call = make_call(kind, "shop", self._next_uid())
        self.oracle.send(self._pick_live_node(at), call, "shop")
        if kind == "confirm":
            self.oracle.send(self._pick_live_node(at + 1), call, "shop")
        self.world.run_for(wait_ms)

    @precondition(lambda self: self.reservations and has_live_node(self))
    @rule(
        at=INDEX,
        which=INDEX,
        copies=st.integers(1, 3),
        wait_ms=st.integers(0, 300),
    )
    def call_reserved(
        self, at: int, which: int, copies: int, wait_ms: int
    ) -> None:
        """Sends copies of a request with a reserved ID, which may be in use."""
        reservation = self.reservations[-1 - which % len(self.reservations)]
        call = make_call(
            reservation.kind,
            reservation.account,
            reservation.uid,
            reservation.token,
        )
        for copy in range(copies):
            self.oracle.send(
                self._pick_live_node(at + copy), call, reservation.account
            )
        self.world.run_for(wait_ms)

    @precondition(lambda self: self.reservations and has_live_node(self))
    @rule(at=INDEX, which=INDEX)
    def reuse_id(self, at: int, which: int) -> None:
        """Sends a used ID with another body or from another account."""
        reservation = self.reservations[which % len(self.reservations)]
        uid = self._next_uid()
        if which % 2:
            call = make_call(
                reservation.kind, reservation.account, uid, reservation.token
            )
            self.oracle.send(
                self._pick_live_node(at), call, reservation.account
            )
            self.reservations.remove(reservation)
        else:
            call = make_call(reservation.kind, "thief", uid, reservation.token)
            self.oracle.send(
                self._pick_live_node(at), call, reservation.account
            )
        self.world.run_for(5)

    def _list_callers_with_id(self) -> list[Caller]:
        return [c for c in self.oracle.callers if c.token and c.call]

    @precondition(
        lambda self: self._list_callers_with_id() and has_live_node(self)
    )
    @rule(at=INDEX, which=INDEX, wait_ms=st.integers(0, 200))
    def resend(self, at: int, which: int, wait_ms: int) -> None:
        """Sends a request again through any instance."""
        known = self._list_callers_with_id()
        first = known[-1 - which % len(known)]
        assert first.call is not None
        call = dataclasses.replace(first.call, key=first.token)
        self.oracle.send(self._pick_live_node(at), call, first.owner)
        self.world.run_for(wait_ms)

    @precondition(
        lambda self: self._list_callers_with_id() and has_live_node(self)
    )
    @rule(
        at=INDEX, which=INDEX, offset=st.integers(0, 250), other=st.booleans()
    )
    def fetch(self, at: int, which: int, offset: int, other: bool) -> None:
        """Fetches an answer through any instance, also for another account."""
        known = self._list_callers_with_id()
        first = known[-1 - which % len(known)]
        account = "thief" if other else first.owner
        node = self._pick_live_node(at)
        self.oracle.fetch(node, first.token, account, first.owner, offset)
        self.world.run_for(20)

    @precondition(lambda self: self.reservations and has_live_node(self))
    @rule(at=INDEX, which=INDEX)
    def forge(self, at: int, which: int) -> None:
        """Sends a forged ID."""
        token = self.reservations[which % len(self.reservations)].token
        middle = len(token) // 2
        letter = "A" if token[middle] != "A" else "B"
        forged = token[:middle] + letter + token[middle + 1 :]
        call = make_call("confirm", "shop", self._next_uid(), forged)
        node, request_id = self._pick_live_node(at), parse_request_id(forged)
        caller = self.oracle.send(node, call, "shop")
        caller.forged = (
            request_id is not None
            and request_id.incarnation == node.incarnation
            and node.config_store.version > 0
        )
        self.world.run_for(5)

    @precondition(lambda self: self.oracle.callers)
    @rule(which=INDEX)
    def leave(self, which: int) -> None:
        """Closes the connection of a caller."""
        callers = self.oracle.callers
        caller = callers[-1 - which % len(callers)]
        if caller.verdict is None:
            self.oracle.disconnect(caller)

    @precondition(has_live_node)
    @rule(at=INDEX, number=st.integers(5, 20))
    def burst(self, at: int, number: int) -> None:
        """Sends many tags and a few quotes to one instance."""
        node = self._pick_live_node(at)
        for n in range(number):
            kind = "quote" if n % 5 == 4 else "tag"
            call = make_call(kind, "gym", self._next_uid())
            self.oracle.send(node, call, "gym")
        self.world.run_for(100)

    @precondition(has_live_node)
    @rule(at=INDEX)
    def send_crasher(self, at: int) -> None:
        """Sends copies of a request that crashes its targets."""
        self.count += 1
        text = f"crash {self.count}"
        for copy in range(4):
            if not has_live_node(self):
                return
            call = make_call("quote", "shop", self._next_uid(), text=text)
            self.oracle.send(self._pick_live_node(at + copy), call, "shop")
            self.world.run_for(2_500)
            self._restart_dead()
            self.world.run_for(300)
        crashes = self.world.crashes[call.body]
        if not self.world.cuts and crashes > MAX_CRASHES:
            self.world.faults.append(f"one request crashed {crashes} targets")

    def _restart_dead(self) -> None:
        for target in self.world.targets.values():
            if not target.up:
                target.restart()
        self.world.platform.revision += 1
