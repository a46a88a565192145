"""Runs the state machine with a chosen seed and prints statistics."""

import argparse
from collections import Counter
from typing import Any

import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machine import FleetMachine

STEPS_PER_RUN = 50


def run_machine(
    steps: int, runs: int, seed: int | None = None, shrink: bool = False
) -> Counter[str]:
    """Runs random steps on simulated fleets and returns event counts.

    Args:
        steps: maximum number of steps of one run.
        runs: number of runs, each on a new fleet.
        seed: selects other random steps; None uses a fixed choice.
        shrink: searches for a shorter failing run, which takes minutes.
    """
    counts: Counter[str] = Counter()

    class Counted(FleetMachine):

        def teardown(self) -> None:
            counts["runs of the machine"] += 1
            counts["steps"] += self.steps
            counts["callers"] += len(self.oracle.callers)
            for caller in self.oracle.callers:
                verdict = caller.verdict
                reason = getattr(verdict, "reason", "")
                label = verdict.label if verdict else "no verdict"
                counts[f"told {label} {reason}".rstrip()] += 1
            super().teardown()
            counts.update(self.world.counts)

    factory: Any = Counted
    if seed is not None:
        factory = hypothesis.seed(seed)(Counted)
    run_state_machine_as_test(
        factory,
        settings=settings(
            max_examples=runs,
            stateful_step_count=steps,
            derandomize=seed is None,
            database=None,
            deadline=None,
            print_blob=False,
            phases=[Phase.generate, Phase.shrink][: 1 + shrink],
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )
    return counts


def main() -> None:
    """Runs the state machine as the command line asks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    runs = max(1, options.steps // STEPS_PER_RUN)
    counts = run_machine(STEPS_PER_RUN, runs, options.seed, options.shrink)
    print(f"seed {options.seed}: {runs} runs of up to {STEPS_PER_RUN} steps")
    for name, count in sorted(counts.items()):
        print(f"{count:8} {name}")


if __name__ == "__main__":
    main()
