"""State machine rules that start, break and repair a simulated fleet."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.fakenode import ENTRY_ZONES, SimNode
from tests.fakes import World
from tests.faketargets import REQUEST_BEHAVIOURS
from tests.oracle import Oracle, make_call

INDEX = st.integers(0, 30)


def has_live_node(machine: "FailureMachine") -> bool:
    """Tells whether at least one instance can be called."""
    return bool(machine.world.list_live_nodes())


def has_spare_node(machine: "FailureMachine") -> bool:
    """Tells whether an instance can fail while another one stays live."""
    return len(machine.world.list_live_nodes()) > 1


class FailureMachine(RuleBasedStateMachine):
    """Failures, repairs and the passing of time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.oracle = Oracle(self.world)
        self.count = 0
        self.steps = 0

    def teardown(self) -> None:
        """Repairs the fleet and checks that every caller gets a verdict."""
        try:
            if not self.world.faults:
                self._restore()
                self.oracle.check()
                self.oracle.check_all_answered()
                self.oracle.check()
        finally:
            self.world.close()

    def _restore(self) -> None:
        self.heal()
        self.platform_works()
        for node in self._list_paused_nodes():
            self.world.loop.resume(node.process)
        for target in self.world.targets.values():
            target.behaviours.clear()
        # Up to the time at which the last request ID has expired.
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
        """Checks the invariants after each step."""
        self.steps += 1
        self.oracle.check()

    def _pick_live_node(self, index: int) -> SimNode:
        live = self.world.list_live_nodes()
        return live[index % len(live)]

    def _list_paused_nodes(self) -> list[SimNode]:
        nodes = self.world.nodes.values()
        return [n for n in nodes if n.process.paused and not n.process.dead]

    def _next_uid(self) -> str:
        self.count += 1
        return f"u{self.count}"

    @rule(ms=st.sampled_from([1, 20, 150, 500, 1_500, 3_500, 7_000, 31_000]))
    def advance(self, ms: int) -> None:
        """Advances the simulated time."""
        self.world.run_for(ms)

    @precondition(has_spare_node)
    @rule(at=INDEX)
    def kill(self, at: int) -> None:
        """Kills an instance."""
        node = self._pick_live_node(at)
        self.oracle.forget_drain(node)
        self.world.kill(node)

    @rule()
    def restart(self) -> None:
        """Restarts the instances that ended, under their old names."""
        for name, node in sorted(self.world.nodes.items()):
            if node.process.dead:
                self.world.start(name)
        self.world.run_for(1_000)

    @precondition(has_spare_node)
    @rule(
        at=INDEX,
        calls=st.integers(0, 2),
        ms=st.sampled_from([100, 2_000, 9_000, 40_000]),
    )
    def pause(self, at: int, calls: int, ms: int) -> None:
        """Pauses an instance, possibly for longer than every timeout."""
        node = self._pick_live_node(at)
        self.oracle.forget_drain(node)
        for _ in range(calls):
            call = make_call("quote", "gym", self._next_uid())
            self.oracle.send(node, call, "gym")
        # After 1 ms the calls are waiting for connections to targets.
        self.world.run_for(1 if calls else 0)
        node.process.paused = True
        self.world.record_topology_change()
        self.world.run_for(ms)

    @precondition(lambda self: self._list_paused_nodes())
    @rule(ms=st.integers(0, 300))
    def wake(self, ms: int) -> None:
        """Resumes paused instances."""
        for node in self._list_paused_nodes():
            self.world.loop.resume(node.process)
            node.started_ms = self.world.clock.now_ms()
        self.world.record_topology_change()
        self.world.run_for(ms)

    @rule()
    def cut(self) -> None:
        """Partitions the network between the zones."""
        self.world.cut("z1", "z2")

    @rule()
    def break_forwards(self) -> None:
        """Breaks forwarded answers, which must resume at their offsets."""
        self.world.break_forwards()

    @rule()
    def heal(self) -> None:
        """Heals the partition between the zones."""
        self.world.heal()

    @precondition(has_spare_node)
    @rule(
        at=INDEX,
        lose=st.booleans(),
        load=st.integers(0, 6),
        ms=st.sampled_from([0, 100, 1_000, 6_000]),
    )
    def shut_down(self, at: int, lose: bool, load: int, ms: int) -> None:
        """Drains an instance under load; the handover reply may be lost."""
        node = self._pick_live_node(at)
        if node.service.draining:
            return
        for n in range(load):
            got = node.service.reserve("shop", "chat", "quote")
            key = got.unwrap().token if got.is_ok() else ""
            call = make_call("quote", "shop", self._next_uid(), key)
            receiver = self._pick_live_node(at + (n % 2) * bool(key))
            self.oracle.send(receiver, call, "shop")
        self.world.run_for(10 * load)
        self.world.lost_replies = {"HandOver"} if lose else set()
        self.oracle.drain(node)
        self.world.run_for(ms)

    @rule(
        which=st.sampled_from(["m1", "m2", "o1", "o2"]),
        plan=st.sampled_from(REQUEST_BEHAVIOURS),
    )
    def plan(self, which: str, plan: str) -> None:
        """Queues a behaviour for a target's next request."""
        self.world.targets[which].behaviours.append(plan)

    @rule(which=st.sampled_from(["m1", "m2", "o1", "o2"]))
    def restart_target(self, which: str) -> None:
        """Restarts a target."""
        self.world.targets[which].restart()
        self.world.platform.revision += 1

    @rule(which=st.sampled_from(["m1", "o1", "o2"]))
    def target_leaves(self, which: str) -> None:
        """Marks a target as leaving in the platform's list."""
        self.world.targets[which].leaving = True
        self.world.platform.revision += 1

    @rule()
    def new_text(self) -> None:
        """Publishes a new configuration."""
        self.world.platform.version += 1
        self.oracle.config_changed_ms = self.world.clock.now_ms()

    @rule(down=st.booleans(), back=st.integers(0, 2))
    def platform_fails(self, down: bool, back: int) -> None:
        """Takes the platform down, or lets it serve an old configuration."""
        platform = self.world.platform
        platform.down = down
        platform.stale_version = max(1, platform.version - back)
        self.oracle.config_changed_ms = self.world.clock.now_ms()

    @rule()
    def platform_works(self) -> None:
        """Restores the platform."""
        self.world.platform.down = False
        self.world.platform.stale_version = 0
        self.oracle.config_changed_ms = self.world.clock.now_ms()
