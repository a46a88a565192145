"""Compares policies under load: `python -m peridotbend_emulator.measure`."""

import json
import pathlib
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from peridotbend_emulator.report import (
    check_requirements,
    draw_plot,
    format_report,
)
from peridotbend_emulator.trial import Case, run_case
from peridotbend_emulator.workload import USERS

LOADS = (0.5, 1.0, 1.5, 2.0)
COMPARED_POLICIES = ("round-robin", "least-load", "peridotbend")
# Policies that lack one feature of the scheduler, or add one; they run at
# `VARIANT_LOADS` only.
VARIANT_POLICIES = (
    "no-affinity",
    "no-stragglers",
    "local-shares",
    "learned-output",
)
VARIANT_LOADS = (1.0, 2.0)
# Half of the cores of the smallest machine in use, which has 8; the others stay
# free for other processes.
WORKERS = 4


def list_cases(
    seeds: Sequence[int], users: Iterable[str], with_variants: bool
) -> list[Case]:
    """Returns the cases of a measurement, in the order of the tables."""
    return [
        Case(user, load, policy, seed)
        for user in users
        for load in LOADS
        for policy in (
            *COMPARED_POLICIES,
            *(
                VARIANT_POLICIES
                if with_variants and load in VARIANT_LOADS
                else ()
            ),
        )
        for seed in seeds
    ]


def run_cases(cases: Sequence[Case], workers: int) -> list[dict[str, Any]]:
    """Runs the cases and returns their figures, in the same order."""
    if workers <= 1:
        return [run_case(case) for case in cases]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_case, cases))


def write_results(
    runs: Sequence[dict[str, Any]], directory: pathlib.Path, seed: int
) -> None:
    """Writes the figures as JSON and the plot as PNG."""
    directory.mkdir(parents=True, exist_ok=True)
    document = {"runs": runs, "targets": check_requirements(runs)}
    text = json.dumps(document, indent=1, sort_keys=True)
    (directory / f"measure-{seed}.json").write_text(text + "\n", "utf-8")
    draw_plot(runs, directory / f"measure-{seed}.png")


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--seeds",
    type=int,
    default=3,
    help="Number of seeds, counting up from --seed.",
)
@click.option("--user", "users", multiple=True, type=click.Choice([*USERS]))
@click.option("--variants/--no-variants", default=True)
@click.option("--workers", type=int, default=WORKERS, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=pathlib.Path("out"),
)
def main(
    seed: int,
    seeds: int,
    users: tuple[str, ...],
    variants: bool,
    workers: int,
    out: pathlib.Path,
) -> None:
    """Runs the workloads under all policies and prints a comparison."""
    seed_range = range(seed, seed + seeds)
    cases = list_cases(seed_range, users or tuple(USERS), variants)
    runs = run_cases(cases, workers)
    write_results(runs, out, seed)
    click.echo(format_report(runs))


if __name__ == "__main__":
    main()
