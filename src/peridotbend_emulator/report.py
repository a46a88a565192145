"""Tables, requirements and the plot of measured runs."""

import pathlib
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

Run = Mapping[str, Any]
Runs = Sequence[Run]

BASELINES = ("round-robin", "least-load")
SCHEDULER = "peridotbend"
# The requirements that the users state, which the report prints as targets.
MIN_TOP_TIER_GOODPUT = 0.98
MAX_WASTE_RATIO = 0.5


def format_report(runs: Runs) -> str:
    """Returns the tables of all users and loads, and the requirements."""
    lines = ["median [min, max] over seeds; goodput as counted / by work"]
    for user, load in sorted({(r["user"], r["load"]) for r in runs}):
        group = [r for r in runs if (r["user"], r["load"]) == (user, load)]
        lines += ["", f"{user}, load {load:g} times capacity"]
        for policy in dict.fromkeys(r["policy"] for r in group):
            lines += _format_policy(
                policy, [r for r in group if r["policy"] == policy]
            )
    lines += ["", "Targets"]
    for check in check_requirements(runs):
        mark = "met    " if check["met"] else "NOT MET"
        lines.append(f"  {mark}  {check['target']}: {check['figure']}")
    return "\n".join(lines)


def _format_policy(policy: str, runs: Runs) -> list[str]:
    total = (
        f"  {policy:<15} goodput {_format_spread(runs, 'total', 'goodput')}"
        f" / {_format_spread(runs, 'total', 'work_goodput')}"
        f"  wasted {_format_spread(runs, 'wasted_prefill')}"
        f" (repeated {_format_spread(runs, 'repeated_prefill')})"
        f"  inversions shed {_format_spread(runs, 'inversions_shed')}"
        f" late {_format_spread(runs, 'inversions_missed')}"
        f"  busy {_format_spread(runs, 'busy')}"
    )
    lines = [total]
    for tier in runs[0]["tiers"]:
        tier_path = ("tiers", tier)
        counts = " ".join(
            f"{name} {_format_spread(runs, *tier_path, name)}"
            for name in ("shed", "expired", "late", "refused")
        )
        first_token_ms = " ".join(
            _format_median(runs, *tier_path, f"first_p{p}_ms")
            for p in (50, 95, 99)
        )
        lines.append(
            f"    {tier:<10} {_format_spread(runs, *tier_path, 'goodput')}"
            f" / {_format_spread(runs, *tier_path, 'work_goodput')}"
            f"  first token p50 p95 p99 {first_token_ms} ms  {counts}"
        )
    return lines


def collect_values(runs: Runs, *path: str) -> list[float]:
    """Returns the figure at a path of keys, of each run that has it."""
    values = []
    for run in runs:
        value: Any = run
        for key in path:
            value = value[key]
        if value is not None:
            values.append(value)
    return values


def _format_median(runs: Runs, *path: str) -> str:
    values = collect_values(runs, *path)
    return f"{statistics.median(values):.0f}" if values else "-"


def _format_spread(runs: Runs, *path: str) -> str:
    values = collect_values(runs, *path)
    if not values:
        return "-"
    median = statistics.median(values)
    parts = [_format_number(v) for v in (median, min(values), max(values))]
    if parts[1] == parts[2]:
        return parts[0]
    return f"{parts[0]} [{parts[1]}, {parts[2]}]"


def _format_number(value: float) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def check_requirements(runs: Runs) -> list[dict[str, Any]]:
    """Checks the scheduler against each requirement, for each user."""
    checks: list[dict[str, Any]] = []
    for user in sorted({r["user"] for r in runs}):
        user_runs = [r for r in runs if r["user"] == user]
        checks += _check_user(user, user_runs)
    return checks


def _check_user(user: str, runs: Runs) -> Iterable[dict[str, Any]]:
    highest_load = max(r["load"] for r in runs)
    top_runs = _select_runs(runs, highest_load, SCHEDULER)
    top_tier = next(iter(top_runs[0]["tiers"]))
    worst = min(collect_values(top_runs, "tiers", top_tier, "goodput"))
    yield _make_check(
        f"{user}: {top_tier} on time at load {highest_load:g}"
        f" >= {MIN_TOP_TIER_GOODPUT}",
        worst >= MIN_TOP_TIER_GOODPUT,
        f"lowest of seeds {worst:.3f}",
    )
    scheduler_runs = [r for r in runs if r["policy"] == SCHEDULER]
    inversions = sum(r["inversions_shed"] for r in scheduler_runs)
    yield _make_check(
        f"{user}: no higher tier shed before a lower one, all loads",
        inversions == 0,
        f"{inversions} sheds",
    )
    for load in sorted({r["load"] for r in runs}):
        yield from _check_load(user, load, runs)


def _check_load(user: str, load: float, runs: Runs) -> Iterable[dict[str, Any]]:
    measured = _find_median(runs, load, SCHEDULER, "wasted_prefill")
    baseline = _find_best_baseline(runs, load, min, "wasted_prefill")
    yield _make_check(
        f"{user}: wasted prefill at load {load:g} <= half the better baseline",
        measured <= MAX_WASTE_RATIO * baseline,
        f"{measured:.3f} against {baseline:.3f}",
    )
    for key, name in (("work_goodput", "work"), ("goodput", "requests")):
        measured = _find_median(runs, load, SCHEDULER, "total", key)
        baseline = _find_best_baseline(runs, load, max, "total", key)
        yield _make_check(
            f"{user}: total goodput by {name} at load {load:g} >= baselines",
            measured >= baseline,
            f"{measured:.3f} against {baseline:.3f}",
        )


def _make_check(target: str, met: bool, figure: str) -> dict[str, Any]:
    return {"target": target, "met": met, "figure": figure}


def _select_runs(runs: Runs, load: float, policy: str) -> Runs:
    return [r for r in runs if (r["load"], r["policy"]) == (load, policy)]


def _find_median(runs: Runs, load: float, policy: str, *path: str) -> float:
    return statistics.median(
        collect_values(_select_runs(runs, load, policy), *path)
    )


def _find_best_baseline(
    runs: Runs,
    load: float,
    choose: Callable[[Iterable[float]], float],
    *path: str,
) -> float:
    return choose(
        _find_median(runs, load, policy, *path) for policy in BASELINES
    )


def draw_plot(runs: Runs, path: pathlib.Path) -> None:
    """Plots goodput, of the highest tier and in total, and wasted prefill."""
    # Imported here, as it takes a second, which tests of the figures save.
    from matplotlib.figure import Figure

    users = sorted({r["user"] for r in runs})
    figure = Figure(figsize=(12, 4 * len(users)), layout="constrained")
    axes = figure.subplots(len(users), 3, squeeze=False)
    for row, user in zip(axes, users, strict=True):
        user_runs = [r for r in runs if r["user"] == user]
        top_tier = next(iter(user_runs[0]["tiers"]))
        _plot_figure(
            row[0],
            user_runs,
            f"{user}: {top_tier} on time",
            "tiers",
            top_tier,
            "goodput",
        )
        _plot_figure(
            row[1], user_runs, f"{user}: work on time", "total", "work_goodput"
        )
        _plot_figure(
            row[2], user_runs, f"{user}: wasted prefill", "wasted_prefill"
        )
    axes[0][0].legend()
    figure.savefig(path, dpi=100)


def _plot_figure(axis: Any, runs: Runs, title: str, *path: str) -> None:
    for policy in (*BASELINES, SCHEDULER):
        loads = sorted({r["load"] for r in runs if r["policy"] == policy})
        values = [
            collect_values(_select_runs(runs, x, policy), *path) for x in loads
        ]
        medians = [statistics.median(v) for v in values]
        axis.plot(loads, medians, marker="o", label=policy)
        lows, highs = [min(v) for v in values], [max(v) for v in values]
        axis.fill_between(loads, lows, highs, alpha=0.2)
    axis.set_title(title)
    axis.set_xlabel("load (times capacity)")
    axis.set_ylim(0, None)
