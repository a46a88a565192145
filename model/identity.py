"""Model of identity, dispatch, hand-over and expiry of one ID, for z3 Spacer.

The model follows one request ID. Its record is held by its minter, the process
that issued the ID, or by up to two heirs, the processes that take it over when
the minter shuts down. Processes are killed and restarted, messages are lost or
delayed, and callers ask any process at any time. Spacer proves, for runs of
any length, that the request is dispatched at most once and that "not run" is
never answered for a request that runs. Each mutant removes one rule and has to
be found unsafe.

Run `python -m model.identity` to check the model and all mutants.
"""

import dataclasses
import enum
import sys
from collections.abc import Callable

import z3

# States of the record at one process.
NONE, QUEUED, DISPATCHED, ENDED, HANDED_OVER = range(5)


class Mutant(enum.Enum):
    """A rule that a changed model leaves out."""

    INCARNATION_IGNORED = "a restarted minter accepts IDs of its predecessor"
    MARK_AFTER_SEND = (
        "the minter sends a record before it marks it as handed over"
    )
    SECOND_HEIR = "an unacknowledged record is also sent to a second heir"
    OTHERS_DISPATCH = (
        "a process that cannot reach the minter dispatches the request"
    )
    FORGOTTEN_NOT_RUN = "a forgotten ID is answered with 'not run'"
    RETRY_AFTER_WRITE = (
        "a dispatched request is sent again after its target died"
    )
    LATE_GATE = (
        "expiry is checked before a process pause instead of at the write"
    )


@dataclasses.dataclass(frozen=True)
class State:
    """The variables of the transition system."""

    minter: z3.ArithRef
    first_heir: z3.ArithRef
    second_heir: z3.ArithRef
    # Whether a hand-over message to each heir is in transit.
    to_first: z3.BoolRef
    to_second: z3.BoolRef
    expired: z3.BoolRef
    # Whether the minter's first incarnation still runs.
    alive: z3.BoolRef
    # Whether the expiry check passed before a process pause; only LATE_GATE
    # uses it.
    passed_gate: z3.BoolRef
    dispatches: z3.ArithRef
    said_not_run: z3.BoolRef

    def terms(self) -> list[z3.ExprRef]:
        """Returns the variables in the order of the fields."""
        return [getattr(self, f.name) for f in dataclasses.fields(self)]


# Maps a state to the guard of the transition and the next state.
Transition = Callable[[State], tuple[z3.BoolRef, State]]


def make_transitions(mutant: Mutant | None = None) -> list[Transition]:
    """Returns the transitions of the protocol or of a mutant of it."""
    transitions: list[Transition] = [
        _dispatch("minter", mutant),
        _dispatch("first_heir", mutant),
        _dispatch("second_heir", mutant),
        _refuse("minter"),
        _refuse("first_heir"),
        _refuse("second_heir"),
        _finish("minter"),
        _finish("first_heir"),
        _kill_minter,
        _hand_over(mutant),
        _deliver("to_first", "first_heir"),
        _deliver("to_second", "second_heir"),
        _lose_message("to_first"),
        _expire,
    ]
    if mutant is not None:
        transitions += _MUTANT_TRANSITIONS.get(mutant, [])
    return transitions


def _dispatch(holder: str, mutant: Mutant | None) -> Transition:
    def transition(state: State) -> tuple[z3.BoolRef, State]:
        fresh = z3.Not(state.expired)
        if mutant is Mutant.LATE_GATE:
            fresh = z3.Or(fresh, state.passed_gate)
        guard = z3.And(getattr(state, holder) == QUEUED, fresh)
        return guard, dataclasses.replace(
            state,
            **{holder: z3.IntVal(DISPATCHED)},
            dispatches=state.dispatches + 1,
        )

    return transition


def _refuse(holder: str) -> Transition:
    """A holder sheds a queued request or times it out: "not run"."""

    def transition(state: State) -> tuple[z3.BoolRef, State]:
        return getattr(state, holder) == QUEUED, dataclasses.replace(
            state,
            **{holder: z3.IntVal(ENDED)},
            said_not_run=z3.BoolVal(True),
        )

    return transition


def _finish(holder: str) -> Transition:
    def transition(state: State) -> tuple[z3.BoolRef, State]:
        return getattr(state, holder) == DISPATCHED, dataclasses.replace(
            state, **{holder: z3.IntVal(ENDED)}
        )

    return transition


def _kill_minter(state: State) -> tuple[z3.BoolRef, State]:
    """The process is killed and loses its memory."""
    return state.alive, dataclasses.replace(
        state, alive=z3.BoolVal(False), minter=z3.IntVal(NONE)
    )


def _hand_over(mutant: Mutant | None) -> Transition:
    def transition(state: State) -> tuple[z3.BoolRef, State]:
        handed_over = z3.IntVal(HANDED_OVER)
        if mutant is Mutant.MARK_AFTER_SEND:
            handed_over = state.minter
        return state.minter == QUEUED, dataclasses.replace(
            state, minter=handed_over, to_first=z3.BoolVal(True)
        )

    return transition


def _deliver(message: str, heir: str) -> Transition:
    def transition(state: State) -> tuple[z3.BoolRef, State]:
        guard = z3.And(getattr(state, message), getattr(state, heir) == NONE)
        return guard, dataclasses.replace(
            state,
            **{message: z3.BoolVal(False), heir: z3.IntVal(QUEUED)},
        )

    return transition


def _lose_message(message: str) -> Transition:
    def transition(state: State) -> tuple[z3.BoolRef, State]:
        return getattr(state, message), dataclasses.replace(
            state, **{message: z3.BoolVal(False)}
        )

    return transition


def _expire(state: State) -> tuple[z3.BoolRef, State]:
    """The ID expires and the minter deletes its record.

    The record of a queued request stays until "not run" is answered.
    """
    return z3.Not(state.expired), dataclasses.replace(
        state,
        expired=z3.BoolVal(True),
        minter=z3.If(state.minter == QUEUED, state.minter, z3.IntVal(NONE)),
    )


def _accept_after_restart(state: State) -> tuple[z3.BoolRef, State]:
    guard = z3.And(z3.Not(state.alive), state.minter == NONE)
    return guard, dataclasses.replace(state, minter=z3.IntVal(QUEUED))


def _send_to_second(state: State) -> tuple[z3.BoolRef, State]:
    guard = z3.And(state.minter == HANDED_OVER, z3.Not(state.to_first))
    return guard, dataclasses.replace(state, to_second=z3.BoolVal(True))


def _dispatch_elsewhere(state: State) -> tuple[z3.BoolRef, State]:
    return z3.Not(state.alive), dataclasses.replace(
        state, dispatches=state.dispatches + 1
    )


def _say_not_run_when_forgotten(state: State) -> tuple[z3.BoolRef, State]:
    return state.minter == NONE, dataclasses.replace(
        state, said_not_run=z3.BoolVal(True)
    )


def _requeue_dispatched(state: State) -> tuple[z3.BoolRef, State]:
    return state.minter == DISPATCHED, dataclasses.replace(
        state, minter=z3.IntVal(QUEUED)
    )


def _pass_gate(state: State) -> tuple[z3.BoolRef, State]:
    guard = z3.And(state.minter == QUEUED, z3.Not(state.expired))
    return guard, dataclasses.replace(state, passed_gate=z3.BoolVal(True))


def _say_expired(state: State) -> tuple[z3.BoolRef, State]:
    guard = z3.And(state.expired, state.minter == QUEUED)
    return guard, dataclasses.replace(state, said_not_run=z3.BoolVal(True))


_MUTANT_TRANSITIONS: dict[Mutant, list[Transition]] = {
    Mutant.INCARNATION_IGNORED: [_accept_after_restart],
    Mutant.SECOND_HEIR: [_send_to_second],
    Mutant.OTHERS_DISPATCH: [_dispatch_elsewhere],
    Mutant.FORGOTTEN_NOT_RUN: [_say_not_run_when_forgotten],
    Mutant.RETRY_AFTER_WRITE: [_requeue_dispatched],
    Mutant.LATE_GATE: [_pass_gate, _say_expired],
}


def _make_symbolic_state(suffix: str) -> State:
    constructors = {
        z3.ArithRef: z3.Int,
        z3.BoolRef: z3.Bool,
    }
    return State(
        **{
            field.name: constructors[field.type](f"{field.name}{suffix}")  # type: ignore[index]
            for field in dataclasses.fields(State)
        }
    )


def _make_initial_state() -> State:
    false, none = z3.BoolVal(False), z3.IntVal(NONE)
    return State(
        z3.IntVal(QUEUED),
        none,
        none,
        false,
        false,
        false,
        z3.BoolVal(True),
        false,
        z3.IntVal(0),
        false,
    )


def is_unsafe(state: State) -> z3.BoolRef:
    """Tells of a second dispatch, or of "not run" for a dispatched request."""
    return z3.Or(
        state.dispatches >= 2,
        z3.And(state.said_not_run, state.dispatches >= 1),
    )


def check_model(mutant: Mutant | None = None) -> bool:
    """Returns True when Spacer proves that no unsafe state is reachable."""
    solver = z3.Fixedpoint()
    solver.set(engine="spacer")
    state = _make_symbolic_state("")
    sorts = [term.sort() for term in state.terms()]
    reachable = z3.Function("reachable", *sorts, z3.BoolSort())
    unsafe = z3.Function("unsafe", z3.BoolSort())
    solver.register_relation(reachable, unsafe)
    solver.declare_var(*state.terms())
    solver.rule(reachable(*_make_initial_state().terms()))
    for transition in make_transitions(mutant):
        guard, next_state = transition(state)
        solver.rule(
            reachable(*next_state.terms()),
            [reachable(*state.terms()), guard],
        )
    solver.rule(unsafe(), [reachable(*state.terms()), is_unsafe(state)])
    result = solver.query(unsafe())
    assert result != z3.unknown, "Spacer could not decide the query"
    return bool(result == z3.unsat)


def main() -> int:
    """Checks the model and every mutant; returns the exit code."""
    safe = check_model()
    print(f"protocol: {'proved safe' if safe else 'UNSAFE'}")
    missed = 0
    for mutant in Mutant:
        detected = not check_model(mutant)
        missed += not detected
        print(f"mutant {mutant.name}: {'unsafe' if detected else 'MISSED'}")
    return 0 if safe and not missed else 1


if __name__ == "__main__":
    sys.exit(main())
