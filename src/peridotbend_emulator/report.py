"""Tables, targets and the plot of measured runs."""

import pathlib
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

Run = Mapping[str, Any]
Rows = Sequence[Run]

BASELINES = ("round-robin", "least-load")
PRODUCT = "peridotbend"
# The targets that the users state.
MIN_TOP_GOODPUT = 0.98
MAX_WASTE_PART = 0.5


def format_report(runs: Rows) -> str:
    """Returns the tables of all users and loads, and the targets."""
    lines = ["median [min, max] over seeds; goodput as counted / by work"]
    for user, load in sorted({(r["user"], r["load"]) for r in runs}):
        here = [r for r in runs if (r["user"], r["load"]) == (user, load)]
        lines += ["", f"{user}, load {load:g} times capacity"]
        for policy in dict.fromkeys(r["policy"] for r in here):
            lines += _format_policy(
                policy, [r for r in here if r["policy"] == policy]
            )
    lines += ["", "Targets"]
    for checked in check_targets(runs):
        mark = "met    " if checked["met"] else "NOT MET"
        lines.append(f"  {mark}  {checked['target']}: {checked['figure']}")
    return "\n".join(lines)


def _format_policy(policy: str, rows: Rows) -> list[str]:
    total = (
        f"  {policy:<15} goodput {_spread(rows, 'total', 'goodput')}"
        f" / {_spread(rows, 'total', 'work_goodput')}"
        f"  wasted {_spread(rows, 'wasted_prefill')}"
        f" (repeated {_spread(rows, 'repeated_prefill')})"
        f"  inversions shed {_spread(rows, 'inversions_shed')}"
        f" late {_spread(rows, 'inversions_missed')}"
        f"  busy {_spread(rows, 'busy')}"
    )
    lines = [total]
    for tier in rows[0]["tiers"]:
        at = ("tiers", tier)
        counts = " ".join(
            f"{name} {_spread(rows, *at, name)}"
            for name in ("shed", "expired", "late", "refused")
        )
        firsts = " ".join(
            _median(rows, *at, f"first_p{p}_ms") for p in (50, 95, 99)
        )
        lines.append(
            f"    {tier:<10} {_spread(rows, *at, 'goodput')}"
            f" / {_spread(rows, *at, 'work_goodput')}"
            f"  first token p50 p95 p99 {firsts} ms  {counts}"
        )
    return lines


def find_values(rows: Rows, *path: str) -> list[float]:
    """Returns one figure of each run; runs without it are left out."""
    values = []
    for row in rows:
        value: Any = row
        for key in path:
            value = value[key]
        if value is not None:
            values.append(value)
    return values


def _median(rows: Rows, *path: str) -> str:
    values = find_values(rows, *path)
    return f"{statistics.median(values):.0f}" if values else "-"


def _spread(rows: Rows, *path: str) -> str:
    values = find_values(rows, *path)
    if not values:
        return "-"
    middle = statistics.median(values)
    parts = [_number(v) for v in (middle, min(values), max(values))]
    if parts[1] == parts[2]:
        return parts[0]
    return f"{parts[0]} [{parts[1]}, {parts[2]}]"


def _number(value: float) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def check_targets(runs: Rows) -> list[dict[str, Any]]:
    """Compares the product with the targets; one entry per target and user."""
    checked: list[dict[str, Any]] = []
    for user in sorted({r["user"] for r in runs}):
        own = [r for r in runs if r["user"] == user]
        checked += _check_user(user, own)
    return checked


def _check_user(user: str, runs: Rows) -> Iterable[dict[str, Any]]:
    highest = max(r["load"] for r in runs)
    rows = _select(runs, highest, PRODUCT)
    top = next(iter(rows[0]["tiers"]))
    worst = min(find_values(rows, "tiers", top, "goodput"))
    yield _judge(
        f"{user}: {top} on time at load {highest:g} >= {MIN_TOP_GOODPUT}",
        worst >= MIN_TOP_GOODPUT,
        f"lowest of seeds {worst:.3f}",
    )
    product = [r for r in runs if r["policy"] == PRODUCT]
    sheds = sum(r["inversions_shed"] for r in product)
    yield _judge(
        f"{user}: no higher tier shed before a lower one, all loads",
        sheds == 0,
        f"{sheds} sheds",
    )
    for load in sorted({r["load"] for r in runs}):
        yield from _check_load(user, load, runs)


def _check_load(user: str, load: float, runs: Rows) -> Iterable[dict[str, Any]]:
    own = _middle(runs, load, PRODUCT, "wasted_prefill")
    best = _best(runs, load, min, "wasted_prefill")
    yield _judge(
        f"{user}: wasted prefill at load {load:g} <= half the better baseline",
        own <= MAX_WASTE_PART * best,
        f"{own:.3f} against {best:.3f}",
    )
    for key, name in (("work_goodput", "work"), ("goodput", "requests")):
        own = _middle(runs, load, PRODUCT, "total", key)
        best = _best(runs, load, max, "total", key)
        yield _judge(
            f"{user}: total goodput by {name} at load {load:g} >= baselines",
            own >= best,
            f"{own:.3f} against {best:.3f}",
        )


def _judge(target: str, met: bool, figure: str) -> dict[str, Any]:
    return {"target": target, "met": met, "figure": figure}


def _select(runs: Rows, load: float, policy: str) -> Rows:
    return [r for r in runs if (r["load"], r["policy"]) == (load, policy)]


def _middle(runs: Rows, load: float, policy: str, *path: str) -> float:
    return statistics.median(find_values(_select(runs, load, policy), *path))


def _best(
    runs: Rows,
    load: float,
    choose: Callable[[Iterable[float]], float],
    *path: str,
) -> float:
    return choose(_middle(runs, load, policy, *path) for policy in BASELINES)


def draw_plot(runs: Rows, path: pathlib.Path) -> None:
    """Draws goodput of the highest tier and in all, and wasted prefill."""
    # Takes a second to import, which tests of the figures need not spend.
    from matplotlib.figure import Figure

    users = sorted({r["user"] for r in runs})
    figure = Figure(figsize=(12, 4 * len(users)), layout="constrained")
    axes = figure.subplots(len(users), 3, squeeze=False)
    for row, user in zip(axes, users, strict=True):
        own = [r for r in runs if r["user"] == user]
        top = next(iter(own[0]["tiers"]))
        _draw(row[0], own, f"{user}: {top} on time", "tiers", top, "goodput")
        _draw(row[1], own, f"{user}: work on time", "total", "work_goodput")
        _draw(row[2], own, f"{user}: wasted prefill", "wasted_prefill")
    axes[0][0].legend()
    figure.savefig(path, dpi=100)


def _draw(axis: Any, runs: Rows, title: str, *path: str) -> None:
    for policy in (*BASELINES, PRODUCT):
        loads = sorted({r["load"] for r in runs if r["policy"] == policy})
        values = [find_values(_select(runs, x, policy), *path) for x in loads]
        middle = [statistics.median(v) for v in values]
        axis.plot(loads, middle, marker="o", label=policy)
        lows, highs = [min(v) for v in values], [max(v) for v in values]
        axis.fill_between(loads, lows, highs, alpha=0.2)
    axis.set_title(title)
    axis.set_xlabel("load (times capacity)")
    axis.set_ylim(0, None)
