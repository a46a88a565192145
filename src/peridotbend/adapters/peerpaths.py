"""The ways to the targets that instances have and lend each other."""

import random
from collections.abc import Callable

from peridotbend.adapters.pathclient import PathDialer
from peridotbend.adapters.pathserver import PathServer
from peridotbend.adapters.targetprobes import (
    LOAD_CALL,
    is_no_gateway_status,
)
from peridotbend.domain.clock import Clock
from peridotbend.domain.pathpeers import PathPeers, PeerChoice
from peridotbend.domain.paths import TargetLookup, TargetPaths
from peridotbend.domain.ports import AnswerHead, EventLog, TargetCall


class PeerPaths:
    """Creates and connects what reaches targets, here and for peers."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        targets: TargetLookup,
        peers: PathPeers,
        log: EventLog,
        connect_timeout_s: float,
        probe_call: TargetCall = LOAD_CALL,
        is_probe_answer: Callable[[AnswerHead], bool] = is_no_gateway_status,
    ):
        self.state = TargetPaths(clock, log, targets)
        self.server = PathServer(targets, self.state, peers, connect_timeout_s)
        self.dialer = PathDialer(
            clock,
            self.state,
            targets,
            peers,
            PeerChoice(clock, rng, peers),
            log,
            probe_call,
            is_probe_answer,
        )
