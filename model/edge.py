"""One attempt, the configuration and an allowance of the edge, for z3 Spacer.

Three small models, each proved for runs of any length, each with mutants that
leave out one rule and must be found unsafe:

- an attempt: targets may run what was written to them at any later time;
- the configuration in force in one start of a process, told in any order;
- the allowance of an account, shared by two sides of a partition.

Run `python -m model.edge` to check all.
"""

import dataclasses
import enum
import sys
from collections.abc import Callable, Sequence

import z3

# Where an attempt stands.
WAITING, SENT, ENDED = range(3)
# The route's bound on sends; any number shows the rule.
MAX_SENDS = 2
# The allowance: the bucket, and by how much a partition may exceed it. The
# sides hear a quarter and three quarters of the instances.
BURST, TOLERANCE = 4, 2
SMALL_SIDE, LARGE_SIDE = z3.Q(1, 4), z3.Q(3, 4)

Values = dict[str, z3.ExprRef]
# A transition: whether it may happen, and what it changes. `free` is any
# number.
Step = Callable[[Values, z3.ArithRef], tuple[z3.BoolRef, Values]]


class Mutant(enum.Enum):
    """A rule that is left out."""

    ORDER_SENT_AGAIN = "a request that may not be repeated is sent again"
    REJECTION_FORGETS = "a rejection makes earlier runs forgotten"
    GATE_UNMARKED = "a send is not marked before its first byte"
    SENDS_UNBOUNDED = "attempts are not counted"
    ANY_VERSION = "a version is taken because it differs"
    WHOLE_IN_A_CUT = "each side of a partition spends the whole bucket"
    HEAL_FORGETS = "what the other side spent is not taken out"


@dataclasses.dataclass(frozen=True)
class Model:
    """Variables, steps and what must never be reached."""

    name: str
    initial: Values
    steps: Sequence[Step]
    find_unsafe: Callable[[Values], z3.BoolRef]
    mutants: tuple[Mutant, ...]


def make_attempt(mutant: Mutant | None) -> Model:
    """One attempt of a caller at the instance that read it."""

    def open_gate(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        allowed = z3.Or(z3.Not(v["may_have_run"]), v["repeatable"])
        if mutant is Mutant.ORDER_SENT_AGAIN:
            allowed = z3.BoolVal(True)
        bound = v["sends"] < MAX_SENDS
        if mutant is Mutant.SENDS_UNBOUNDED:
            bound = z3.BoolVal(True)
        return z3.And(v["phase"] == WAITING, allowed, bound), {
            "phase": z3.IntVal(SENT),
            "earlier": v["may_have_run"],
            "may_have_run": z3.BoolVal(mutant is not Mutant.GATE_UNMARKED),
            "sends": v["sends"] + 1,
            "pending": z3.BoolVal(True),
        }

    def run(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        """The target begins to work on what was written to it."""
        return v["pending"], {
            "pending": z3.BoolVal(False),
            "runs": v["runs"] + 1,
        }

    def reject(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        """The target says that it does not run this send, and keeps to it."""
        earlier = v["earlier"]
        if mutant is Mutant.REJECTION_FORGETS:
            earlier = z3.BoolVal(False)
        return z3.And(v["phase"] == SENT, v["pending"]), {
            "phase": z3.IntVal(WAITING),
            "pending": z3.BoolVal(False),
            "may_have_run": earlier,
        }

    def lose(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        """The connection breaks; what was written may be read, or not."""
        return v["phase"] == SENT, {"phase": z3.IntVal(WAITING)}

    def refuse(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        return v["phase"] == WAITING, {
            "phase": z3.IntVal(ENDED),
            "said_not_run": z3.Not(v["may_have_run"]),
        }

    def finish(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        return z3.And(v["phase"] == SENT, z3.Not(v["pending"])), {
            "phase": z3.IntVal(ENDED)
        }

    def find_unsafe(v: Values) -> z3.BoolRef:
        return z3.Or(
            z3.And(v["said_not_run"], v["runs"] >= 1),
            z3.And(z3.Not(v["repeatable"]), v["runs"] >= 2),
            v["sends"] > MAX_SENDS,
        )

    return Model(
        "attempt",
        {
            "repeatable": z3.Bool("any_kind"),
            "phase": z3.IntVal(WAITING),
            "may_have_run": z3.BoolVal(False),
            "earlier": z3.BoolVal(False),
            "pending": z3.BoolVal(False),
            "sends": z3.IntVal(0),
            "runs": z3.IntVal(0),
            "said_not_run": z3.BoolVal(False),
        },
        (open_gate, run, reject, lose, refuse, finish),
        find_unsafe,
        (
            Mutant.ORDER_SENT_AGAIN,
            Mutant.REJECTION_FORGETS,
            Mutant.GATE_UNMARKED,
            Mutant.SENDS_UNBOUNDED,
        ),
    )


def make_configuration(mutant: Mutant | None) -> Model:
    """The version in force in one start of a process."""

    def publish(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        return z3.BoolVal(True), {"newest": v["newest"] + 1}

    def hear(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        """The store or a peer tells a version, which may be an old one."""
        taken = free > v["in_force"]
        if mutant is Mutant.ANY_VERSION:
            taken = free != v["in_force"]
        return z3.And(free >= 1, free <= v["newest"], taken), {
            "in_force": free,
            "went_back": z3.Or(v["went_back"], free < v["in_force"]),
        }

    def find_unsafe(v: Values) -> z3.BoolRef:
        return z3.Or(v["went_back"], v["in_force"] > v["newest"])

    return Model(
        "configuration",
        {
            "newest": z3.IntVal(1),
            "in_force": z3.IntVal(0),
            "went_back": z3.BoolVal(False),
        },
        (publish, hear),
        find_unsafe,
        (Mutant.ANY_VERSION,),
    )


def make_allowance(mutant: Mutant | None) -> Model:
    """An allowance that two sides spend from.

    Digests arrive at once while the sides hear each other; what their delay
    adds is not part of the model. The cap of the bucket is left out: it only
    lowers what may be spent. `true_level` is what is left of it, and
    `unknown_to_*` what the other side spent since it was last heard.
    """
    sides = (("small", "large"), ("large", "small"))
    shares = {"small": SMALL_SIDE, "large": LARGE_SIDE}

    def spend(own: str, other: str) -> Step:
        def step(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
            # What this side believes is left.
            level = v["true_level"] + v[f"unknown_to_{own}"]
            limit = v[f"part_{own}"] + shares[own] * TOLERANCE
            within = z3.And(free <= level, free <= limit)
            if mutant is Mutant.WHOLE_IN_A_CUT:
                within = free <= level
            allowed = z3.If(v["cut"], within, free <= level)
            unknown = f"unknown_to_{other}"
            return z3.And(free > 0, allowed), {
                "true_level": v["true_level"] - free,
                f"part_{own}": z3.If(
                    v["cut"], v[f"part_{own}"] - free, v[f"part_{own}"]
                ),
                unknown: z3.If(v["cut"], v[unknown] + free, v[unknown]),
            }

        return step

    def refill(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        """Time passes: `free` tokens are refilled."""
        return free > 0, {
            "true_level": v["true_level"] + free,
            **{
                f"part_{side}": v[f"part_{side}"] + share * free
                for side, share in shares.items()
            },
        }

    def cut(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        parts = {
            f"part_{side}": share * (v["true_level"] + v[f"unknown_to_{side}"])
            for side, share in shares.items()
        }
        return z3.Not(v["cut"]), {"cut": z3.BoolVal(True), **parts}

    def heal(v: Values, free: z3.ArithRef) -> tuple[z3.BoolRef, Values]:
        heard = {f"unknown_to_{side}": z3.RealVal(0) for side in shares}
        if mutant is Mutant.HEAL_FORGETS:
            heard = {}
        return v["cut"], {"cut": z3.BoolVal(False), **heard}

    def find_unsafe(v: Values) -> z3.BoolRef:
        """Together they spent more than the bound."""
        return v["true_level"] < -TOLERANCE

    return Model(
        "allowance",
        {
            "true_level": z3.RealVal(BURST),
            "cut": z3.BoolVal(False),
            "part_small": z3.RealVal(0),
            "part_large": z3.RealVal(0),
            "unknown_to_small": z3.RealVal(0),
            "unknown_to_large": z3.RealVal(0),
        },
        (*(spend(own, other) for own, other in sides), refill, cut, heal),
        find_unsafe,
        (Mutant.WHOLE_IN_A_CUT, Mutant.HEAL_FORGETS),
    )


MODELS = (make_attempt, make_configuration, make_allowance)


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
    for step in model.steps:
        guard, changes = step(state, free)
        after = {**state, **changes}
        solver.rule(
            reachable(*after.values()), [reachable(*state.values()), guard]
        )
    solver.rule(
        unsafe(), [reachable(*state.values()), model.find_unsafe(state)]
    )
    result = solver.query(unsafe())
    assert result != z3.unknown, "Spacer gave up"
    return bool(result == z3.unsat)


def main() -> int:
    """Checks the models and every mutant; returns the exit code."""
    failed = 0
    for make in MODELS:
        model = make(None)
        safe = check_model(model)
        failed += not safe
        print(f"{model.name}: {'proved safe' if safe else 'UNSAFE'}")
        for mutant in model.mutants:
            found = not check_model(make(mutant))
            failed += not found
            print(f"mutant {mutant.name}: {'unsafe' if found else 'MISSED'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
