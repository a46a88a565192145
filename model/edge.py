"""Models of an attempt, the configuration and an allowance, for z3 Spacer.

Spacer proves each model of the edge safe for runs of any length. Each mutant
of a model leaves out one rule and has to be found unsafe. The models are:

- an attempt: a target may run a request at any time after it was written;
- the configuration in force in one incarnation of a process, which receives
  versions in any order;
- the allowance of a client account during a network partition, when the
  instances on both sides spend from it.

Run `python -m model.edge` to check all models and mutants.
"""

import dataclasses
import enum
import sys
from collections.abc import Callable, Sequence

import z3

# Phases of an attempt.
WAITING, SENT, ENDED = range(3)
# Limit of the route on sends; the proof does not depend on its value.
MAX_SENDS = 2
# Size of the allowance's token bucket, and how much more than the bucket may
# be spent during a partition.
BURST, TOLERANCE = 4, 2
# Shares of the instances on the two sides of the partition.
SMALL_SIDE_SHARE, LARGE_SIDE_SHARE = z3.Q(1, 4), z3.Q(3, 4)

State = dict[str, z3.ExprRef]
# Maps a state and an unconstrained number (`free`) to the guard of the
# transition and the variables that it changes.
Transition = Callable[[State, z3.ArithRef], tuple[z3.BoolRef, State]]


class Mutant(enum.Enum):
    """A rule that a changed model leaves out."""

    ORDER_SENT_AGAIN = (
        "a request that is not repeatable is sent again after it may have run"
    )
    REJECTION_FORGETS = (
        "a rejection clears the mark that an earlier send may have run"
    )
    GATE_UNMARKED = (
        "an attempt is not marked as possibly run before the first byte"
    )
    SENDS_UNBOUNDED = "the number of sends is not limited"
    ANY_VERSION = "any version that differs is accepted, also an older one"
    WHOLE_IN_A_CUT = "each side of a partition may spend the whole bucket"
    HEAL_FORGETS = (
        "after a partition, the other side's spending is not subtracted"
    )


@dataclasses.dataclass(frozen=True)
class Model:
    """A transition system and the states that must not be reachable."""

    name: str
    initial: State
    transitions: Sequence[Transition]
    is_unsafe: Callable[[State], z3.BoolRef]
    mutants: tuple[Mutant, ...]


def make_attempt_model(mutant: Mutant | None) -> Model:
    """Makes the model of one attempt at the instance that received it.

    The model is unsafe when "not run" is answered for a request that runs,
    when a request that is not repeatable runs twice, or when more sends are
    made than the route allows.
    """

    def send(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        allowed = z3.Or(z3.Not(state["may_have_run"]), state["repeatable"])
        if mutant is Mutant.ORDER_SENT_AGAIN:
            allowed = z3.BoolVal(True)
        bound = state["sends"] < MAX_SENDS
        if mutant is Mutant.SENDS_UNBOUNDED:
            bound = z3.BoolVal(True)
        return z3.And(state["phase"] == WAITING, allowed, bound), {
            "phase": z3.IntVal(SENT),
            "earlier": state["may_have_run"],
            "may_have_run": z3.BoolVal(mutant is not Mutant.GATE_UNMARKED),
            "sends": state["sends"] + 1,
            "pending": z3.BoolVal(True),
        }

    def execute(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        """The target starts to run the request that was written to it."""
        return state["pending"], {
            "pending": z3.BoolVal(False),
            "runs": state["runs"] + 1,
        }

    def reject(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        """The target rejects this send and guarantees not to run it."""
        earlier = state["earlier"]
        if mutant is Mutant.REJECTION_FORGETS:
            earlier = z3.BoolVal(False)
        return z3.And(state["phase"] == SENT, state["pending"]), {
            "phase": z3.IntVal(WAITING),
            "pending": z3.BoolVal(False),
            "may_have_run": earlier,
        }

    def disconnect(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        """The connection breaks; the target may still run the request."""
        return state["phase"] == SENT, {"phase": z3.IntVal(WAITING)}

    def refuse(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        return state["phase"] == WAITING, {
            "phase": z3.IntVal(ENDED),
            "said_not_run": z3.Not(state["may_have_run"]),
        }

    def finish(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        return z3.And(state["phase"] == SENT, z3.Not(state["pending"])), {
            "phase": z3.IntVal(ENDED)
        }

    def is_unsafe(state: State) -> z3.BoolRef:
        return z3.Or(
            z3.And(state["said_not_run"], state["runs"] >= 1),
            z3.And(z3.Not(state["repeatable"]), state["runs"] >= 2),
            state["sends"] > MAX_SENDS,
        )

    return Model(
        "attempt",
        {
            "repeatable": z3.Bool("any_kind"),
            "phase": z3.IntVal(WAITING),
            "may_have_run": z3.BoolVal(False),
            # The value of `may_have_run` before the current send.
            "earlier": z3.BoolVal(False),
            # A request was written that the target has not run or rejected.
            "pending": z3.BoolVal(False),
            "sends": z3.IntVal(0),
            "runs": z3.IntVal(0),
            # The caller was answered "not run".
            "said_not_run": z3.BoolVal(False),
        },
        (send, execute, reject, disconnect, refuse, finish),
        is_unsafe,
        (
            Mutant.ORDER_SENT_AGAIN,
            Mutant.REJECTION_FORGETS,
            Mutant.GATE_UNMARKED,
            Mutant.SENDS_UNBOUNDED,
        ),
    )


def make_configuration_model(mutant: Mutant | None) -> Model:
    """Makes the model of the version in force in one incarnation.

    The model is unsafe when a newer version is replaced by an older one, or
    when a version is in force that was never published.
    """

    def publish(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        return z3.BoolVal(True), {"newest": state["newest"] + 1}

    def receive(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        """The store or a peer sends a version, which may be an old one."""
        accepted = free > state["in_force"]
        if mutant is Mutant.ANY_VERSION:
            accepted = free != state["in_force"]
        return z3.And(free >= 1, free <= state["newest"], accepted), {
            "in_force": free,
            "went_back": z3.Or(state["went_back"], free < state["in_force"]),
        }

    def is_unsafe(state: State) -> z3.BoolRef:
        return z3.Or(state["went_back"], state["in_force"] > state["newest"])

    return Model(
        "configuration",
        {
            "newest": z3.IntVal(1),
            "in_force": z3.IntVal(0),
            # A version was replaced by an older one.
            "went_back": z3.BoolVal(False),
        },
        (publish, receive),
        is_unsafe,
        (Mutant.ANY_VERSION,),
    )


def make_allowance_model(mutant: Mutant | None) -> Model:
    """Makes the model of an allowance that both sides of a partition spend.

    Without a partition, digests arrive without delay; what their delay adds
    to the spending is not modelled. The cap of the bucket is left out, since
    it only lowers what may be spent.
    """
    side_pairs = (("small", "large"), ("large", "small"))
    shares = {"small": SMALL_SIDE_SHARE, "large": LARGE_SIDE_SHARE}

    def make_spend(own: str, other: str) -> Transition:
        def spend(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
            # The level as this side knows it.
            level = state["true_level"] + state[f"unknown_to_{own}"]
            quota = state[f"part_{own}"] + shares[own] * TOLERANCE
            within = z3.And(free <= level, free <= quota)
            if mutant is Mutant.WHOLE_IN_A_CUT:
                within = free <= level
            allowed = z3.If(state["cut"], within, free <= level)
            unknown_key = f"unknown_to_{other}"
            return z3.And(free > 0, allowed), {
                "true_level": state["true_level"] - free,
                f"part_{own}": z3.If(
                    state["cut"],
                    state[f"part_{own}"] - free,
                    state[f"part_{own}"],
                ),
                unknown_key: z3.If(
                    state["cut"], state[unknown_key] + free, state[unknown_key]
                ),
            }

        return spend

    def refill(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        """Time passes and adds `free` tokens to the bucket."""
        return free > 0, {
            "true_level": state["true_level"] + free,
            **{
                f"part_{side}": state[f"part_{side}"] + share * free
                for side, share in shares.items()
            },
        }

    def partition(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        parts = {
            f"part_{side}": share
            * (state["true_level"] + state[f"unknown_to_{side}"])
            for side, share in shares.items()
        }
        return z3.Not(state["cut"]), {"cut": z3.BoolVal(True), **parts}

    def heal(state: State, free: z3.ArithRef) -> tuple[z3.BoolRef, State]:
        reset = {f"unknown_to_{side}": z3.RealVal(0) for side in shares}
        if mutant is Mutant.HEAL_FORGETS:
            reset = {}
        return state["cut"], {"cut": z3.BoolVal(False), **reset}

    def is_unsafe(state: State) -> z3.BoolRef:
        """Both sides together spent more than bucket and tolerance allow."""
        return state["true_level"] < -TOLERANCE

    return Model(
        "allowance",
        {
            # Tokens left in the bucket after the spending of both sides.
            "true_level": z3.RealVal(BURST),
            # A partition separates the two sides.
            "cut": z3.BoolVal(False),
            # What is left of each side's part of the bucket in a partition.
            "part_small": z3.RealVal(0),
            "part_large": z3.RealVal(0),
            # What the other side spent in a partition and this side has not
            # been told.
            "unknown_to_small": z3.RealVal(0),
            "unknown_to_large": z3.RealVal(0),
        },
        (
            *(make_spend(own, other) for own, other in side_pairs),
            refill,
            partition,
            heal,
        ),
        is_unsafe,
        (Mutant.WHOLE_IN_A_CUT, Mutant.HEAL_FORGETS),
    )


MODEL_FACTORIES = (
    make_attempt_model,
    make_configuration_model,
    make_allowance_model,
)


def check_model(model: Model) -> bool:
    """Returns True when Spacer proves that no unsafe state is reachable."""
    solver = z3.Fixedpoint()
    solver.set(engine="spacer")
    names = list(model.initial)
    sorts = [value.sort() for value in model.initial.values()]
    state = {
        name: z3.Const(name, sort)
        for name, sort in zip(names, sorts, strict=True)
    }
    is_real = z3.RealSort() in sorts
    free = z3.Real("free") if is_real else z3.Int("free")
    reachable = z3.Function("reachable", *sorts, z3.BoolSort())
    unsafe = z3.Function("unsafe", z3.BoolSort())
    solver.register_relation(reachable, unsafe)
    solver.declare_var(*state.values(), free, z3.Bool("any_kind"))
    solver.rule(reachable(*model.initial.values()))
    for transition in model.transitions:
        guard, changes = transition(state, free)
        next_state = {**state, **changes}
        solver.rule(
            reachable(*next_state.values()), [reachable(*state.values()), guard]
        )
    solver.rule(unsafe(), [reachable(*state.values()), model.is_unsafe(state)])
    result = solver.query(unsafe())
    assert result != z3.unknown, "Spacer could not decide the query"
    return bool(result == z3.unsat)


def main() -> int:
    """Checks the models and every mutant; returns the exit code."""
    failures = 0
    for make_model in MODEL_FACTORIES:
        model = make_model(None)
        safe = check_model(model)
        failures += not safe
        print(f"{model.name}: {'proved safe' if safe else 'UNSAFE'}")
        for mutant in model.mutants:
            detected = not check_model(make_model(mutant))
            failures += not detected
            print(f"mutant {mutant.name}: {'unsafe' if detected else 'MISSED'}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
