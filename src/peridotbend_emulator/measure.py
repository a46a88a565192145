"""Compares policies under load: `python -m peridotbend_emulator.measure`."""

import json
import pathlib
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from peridotbend_emulator.report import check_targets, draw_plot, format_report
from peridotbend_emulator.trial import Case, run_case
from peridotbend_emulator.workload import USERS

LOADS = (0.5, 1.0, 1.5, 2.0)
COMPARED = ("round-robin", "least-load", "peridotbend")
# Runs without one part, or with one more, at these loads only.
VARIANTS = ("no-affinity", "no-stragglers", "local-shares", "learned-output")
VARIANT_LOADS = (1.0, 2.0)
# Leaves half of the smallest machine in use, with 8 cores, to others.
WORKERS = 4


def list_cases(
    seeds: Sequence[int], users: Iterable[str], with_variants: bool
) -> list[Case]:
    """Returns the runs of a measurement, in the order of the table."""
    return [
        Case(user, load, policy, seed)
        for user in users
        for load in LOADS
        for policy in (
            *COMPARED,
            *(VARIANTS if with_variants and load in VARIANT_LOADS else ()),
        )
        for seed in seeds
    ]


def run_cases(cases: Sequence[Case], workers: int) -> list[dict[str, Any]]:
    """Returns the figures of each case, in order."""
    if workers <= 1:
        return [run_case(case) for case in cases]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_case, cases))


def write_results(
    runs: Sequence[dict[str, Any]], folder: pathlib.Path, seed: int
) -> None:
    """Writes the figures and the plot."""
    folder.mkdir(parents=True, exist_ok=True)
    document = {"runs": runs, "targets": check_targets(runs)}
    text = json.dumps(document, indent=1, sort_keys=True)
    (folder / f"measure-{seed}.json").write_text(text + "\n", "utf-8")
    draw_plot(runs, folder / f"measure-{seed}.png")


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=3, help="Seeds from the first on.")
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
    """Runs the workloads under all policies and prints the comparison."""
    chosen = range(seed, seed + seeds)
    cases = list_cases(chosen, users or tuple(USERS), variants)
    runs = run_cases(cases, workers)
    write_results(runs, out, seed)
    click.echo(format_report(runs))


if __name__ == "__main__":
    main()
