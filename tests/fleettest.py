"""Base of tests of a small simulated fleet, without random steps."""

import unittest

from peridotbend.domain.verdicts import Reason, Verdict
from tests.fakenode import ENTRY_ZONES, SimNode
from tests.fakes import World
from tests.faketargets import ScriptedAnswer
from tests.machine import SERVICES
from tests.oracle import Caller, Oracle, make_call


class FleetTest(unittest.TestCase):
    """Base of the tests: three instances that know each other.

    All of them have the configuration.
    """

    def setUp(self) -> None:
        self.world = World()
        self.addCleanup(self.world.close)
        self.oracle = Oracle(self.world)
        for name in ENTRY_ZONES:
            self.world.start(name)
        self.world.run_for(1_500)
        self.a1, self.a2 = self.world.nodes["a1"], self.world.nodes["a2"]

    def reserve(self, node: SimNode, kind: str = "confirm") -> str:
        """Reserves an ID and returns it."""
        service = SERVICES.get(kind, "chat")
        return node.service.reserve("shop", service, kind).unwrap().token

    def send(
        self,
        node: SimNode,
        kind: str = "quote",
        key: str = "",
        uid: str = "u1",
        ms: int = 1_500,
        text: str = "",
        stream: bool = False,
    ) -> Caller:
        """Sends a request and runs the simulation for `ms`."""
        call = make_call(kind, "shop", uid, key, text, stream)
        caller = self.oracle.send(node, call, "shop")
        self.run_for(ms)
        return caller

    def fetch(
        self, node: SimNode, token: str, offset: int = 0, account: str = "shop"
    ) -> Caller:
        """Fetches an answer and runs the simulation for 1,000 ms."""
        caller = self.oracle.fetch(node, token, account, "shop", offset)
        self.run_for(1_000)
        return caller

    def plan_failure(self, failure: str, service: str = "m") -> None:
        """Makes the next request at each target of a service fail.

        `failure` is one of `faketargets.PLANS`, or "" for a request that runs
        normally. `service` is the first letter of the names of the targets.
        """
        for name, target in self.world.targets.items():
            if name.startswith(service):
                target.behaviours.append(failure)

    def script(self, *answers: ScriptedAnswer, service: str = "m") -> None:
        """Makes each target of a service answer its next calls with these."""
        for name, target in self.world.targets.items():
            if name.startswith(service):
                target.scripted.extend(answers)

    def end_trouble(self) -> None:
        """Ends all scripted answers, and the pauses of targets after them."""
        for target in self.world.targets.values():
            target.scripted.clear()
        self.run_for(10_000)

    def run_for(self, ms: int) -> None:
        """Runs the simulation for `ms` and checks the invariants."""
        self.world.run_for(ms)
        self.oracle.check()


def get_verdict(caller: Caller) -> tuple[str, Reason | None]:
    """Returns the label and the reason of a caller's verdict."""
    verdict: Verdict | None = caller.verdict
    assert verdict is not None, "no verdict yet"
    return verdict.label, getattr(verdict, "reason", None)
