"""The faults of a soak, their shares, and the choices made from its seed."""

import dataclasses
import enum
import random
from collections.abc import Iterable, Mapping

from peridotbend_emulator.soak.links import PARTIAL_CUTS


class Place(enum.Enum):
    """Where a fault takes effect."""

    RUN = "run"
    CALLER = "caller"
    SERIES = "series"
    FLEET = "fleet"


@dataclasses.dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault that a soak can play."""

    name: str
    place: Place
    # A share of the runs or callers. For restarts whose entry is late, the
    # longest lag of the entry in seconds. Other faults don't use it.
    share: float
    effect: str
    # Whether it is played if no fault is named.
    is_usual: bool = True


# Share of the runners that an instance with a partial cut does not reach.
PARTIAL_CUT_SHARE = 0.67
# Longest lag of an entry behind the start of its runner, in seconds.
ENTRY_LAG_S = 1.2

KINDS = (
    FaultKind("reject", Place.RUN, 0.03, "a runner turns a request away"),
    FaultKind("fail", Place.RUN, 0.03, "a call runs and fails with 500"),
    FaultKind("silence", Place.RUN, 0.03, "a run pauses 0.3 to 1.2 s"),
    FaultKind("break", Place.RUN, 0.12, "an answer ends inside an event"),
    FaultKind("reset", Place.RUN, 0.05, "an answer is reset between events"),
    FaultKind("garble", Place.RUN, 0.05, "an answer holds foreign bytes"),
    FaultKind("weights", Place.RUN, 0.1, "events name versions of weights"),
    FaultKind("unframed", Place.RUN, 0.1, "an answer ends with its connection"),
    FaultKind("extra", Place.RUN, 0.05, "an answer is followed by another"),
    FaultKind("length-close", Place.RUN, 0.05, "a connection isn't kept"),
    FaultKind("bad-report", Place.RUN, 0.3, "a report is not valid", False),
    FaultKind("leave", Place.CALLER, 0.04, "a caller leaves early"),
    FaultKind("abandon", Place.CALLER, 0.3, "a caller goes elsewhere", False),
    FaultKind("kept", Place.CALLER, 0.2, "memory of others is named", False),
    FaultKind("keep", Place.CALLER, 0.6, "a caller keeps its connection"),
    FaultKind("slow", Place.CALLER, 0.08, "a caller reads slowly"),
    FaultKind("http10", Place.CALLER, 0.06, "a caller speaks HTTP/1.0", False),
    FaultKind("crash", Place.SERIES, 0, "a runner dies, connections reset"),
    FaultKind("fin", Place.SERIES, 0, "a runner dies, connections closed"),
    FaultKind("drain", Place.SERIES, 0, "a runner leaves and is replaced"),
    FaultKind("release", Place.SERIES, 0, "a runner is replaced by a version"),
    FaultKind("inplace", Place.SERIES, ENTRY_LAG_S, "new version, same ID"),
    FaultKind("same", Place.SERIES, ENTRY_LAG_S, "same version, same ID"),
    FaultKind("early", Place.SERIES, ENTRY_LAG_S, "entry before its runner"),
    FaultKind("crashloop", Place.SERIES, ENTRY_LAG_S, "two starts, one entry"),
    FaultKind(
        "roll", Place.SERIES, ENTRY_LAG_S, "newest version, same ID", False
    ),
    FaultKind("reuse", Place.SERIES, ENTRY_LAG_S, "addresses change", False),
    FaultKind("dark", Place.SERIES, 0, "a runner is silent for seconds"),
    FaultKind("store", Place.SERIES, 0, "the store is away"),
    FaultKind("term", Place.SERIES, 0, "an instance is stopped and restarted"),
    FaultKind("kill", Place.SERIES, 0, "an instance is killed and restarted"),
    FaultKind("pause", Place.SERIES, 0, "an instance is paused"),
    FaultKind("hup", Place.SERIES, 0, "an instance reads its settings again"),
    FaultKind("cut", Place.SERIES, 0, "an instance is cut off from runners"),
    FaultKind("herd", Place.SERIES, 0, "all instances are killed at once"),
    FaultKind("split", Place.SERIES, 0, "two zones are cut off", False),
    FaultKind("oneway", Place.SERIES, 0, "bytes are held in one direction"),
    FaultKind("delay", Place.SERIES, 0, "bytes are delayed"),
    FaultKind("clock", Place.SERIES, 0, "an instance has another time of day"),
    FaultKind("settings", Place.SERIES, 0, "other settings, also broken ones"),
    FaultKind("config", Place.SERIES, 0, "a new configuration is written"),
    FaultKind("restore", Place.SERIES, 0, "the store goes back to a copy"),
    FaultKind("many", Place.FLEET, 0, "30 small stream runners", False),
    FaultKind("onever", Place.FLEET, 0, "runners begin as one version", False),
    FaultKind("mute", Place.FLEET, 0, "runners tell no start: 404", False),
    FaultKind("once", Place.FLEET, 0, "only calls that run once", False),
    FaultKind("eight", Place.FLEET, 0, "eight instances, not three", False),
    FaultKind("groups", Place.FLEET, 0, "63 instances, in groups", False),
    *(
        FaultKind(
            name,
            Place.FLEET,
            PARTIAL_CUT_SHARE,
            f"few runners: {state.value}",
            False,
        )
        for name, state in PARTIAL_CUTS.items()
    ),
    FaultKind("zone", Place.FLEET, 0, "a partial cut strikes one zone", False),
    FaultKind("peer", Place.FLEET, 0, "instance 0 reaches no runner", False),
    FaultKind("still", Place.FLEET, 0, "runners pause beside a stop", False),
    FaultKind(
        "builds", Place.FLEET, 0, "half of the instances: other build", False
    ),
)
KINDS_BY_NAME: Mapping[str, FaultKind] = {kind.name: kind for kind in KINDS}


class UnknownFaultError(ValueError):
    """A fault was asked for that the soak doesn't know."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults of a run with their shares."""

    shares: Mapping[str, float]

    def has(self, *names: str) -> bool:
        """Tells whether one of some faults is played."""
        return any(name in self.shares for name in names)

    def list_series(self) -> tuple[str, ...]:
        """Returns the faults that come in series, in a fixed order."""
        return tuple(
            kind.name
            for kind in KINDS
            if kind.place is Place.SERIES and kind.name in self.shares
        )


def parse_faults(words: Iterable[str]) -> FaultPlan:
    """Returns the plan of words like `break` or `break=0.3`.

    Without a word, the usual faults are played.

    Raises:
        UnknownFaultError: a word names no fault or an invalid share.
    """
    shares = {}
    for word in words:
        name, _, share = word.partition("=")
        if name not in KINDS_BY_NAME:
            known = " ".join(KINDS_BY_NAME)
            raise UnknownFaultError(f"unknown fault {name!r}; known: {known}")
        try:
            shares[name] = float(share) if share else KINDS_BY_NAME[name].share
        except ValueError as error:
            raise UnknownFaultError(
                f"{word}: the share is no number"
            ) from error
    if not shares:
        shares = {kind.name: kind.share for kind in KINDS if kind.is_usual}
    return FaultPlan(shares)


class Choices:
    """The choices for one subject, which the seed and its name determine.

    Subjects have generators of their own, so that the timing of one doesn't
    change the choices of another.
    """

    def __init__(self, plan: FaultPlan, seed: int, subject: str):
        self.plan = plan
        self.rng = random.Random(f"{seed}/{subject}")

    def draw_fault(self, name: str) -> bool:
        """Tells whether a fault strikes here."""
        return self.rng.random() < self.plan.shares.get(name, 0.0)
