"""Tests of the fleet's invariants under random failures in a simulation."""

import unittest

from tests.fakenode import ENTRY_ZONES
from tests.fakes import World
from tests.fuzz import run_machine
from tests.oracle import Oracle, make_call

RUNS = 24
STEPS = 45


class InvariantsTest(unittest.TestCase):
    """Random runs; `make fuzz` does longer ones with other seeds."""

    def test_random_runs_keep_the_invariants(self) -> None:
        """Guards against a violation of any of the eight design invariants."""
        counts = run_machine(STEPS, RUNS)
        # Runs without requests or failures would also pass.
        for name in ("runs", "shed", "target-failed", "drained"):
            assert counts[name] >= 3, (name, counts)

    def test_same_seed_gives_same_run(self) -> None:
        """Guards against failures that cannot be reproduced."""
        assert run_machine(30, 3, seed=7) == run_machine(30, 3, seed=7)


class OracleTest(unittest.TestCase):
    """Violations that the oracle must report."""

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.close)
        self.oracle = Oracle(self.world)
        for name in ENTRY_ZONES:
            self.world.start(name)
        self.world.run_for(1_500)

    def test_second_run_of_one_request_is_reported(self) -> None:
        """Guards against an oracle that misses a second dispatch."""
        call = make_call("quote", "shop", "u1")
        caller = self.oracle.send(self.world.nodes["a1"], call, "shop")
        self.world.run_for(1_000)
        self.oracle.check()
        assert caller.verdict is not None
        self.world.runs[caller.token] *= 2
        with self.assertRaisesRegex(AssertionError, "dispatched 2 times"):
            self.oracle.check()
