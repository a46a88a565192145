"""Measures text propagation: `python -m peridotbend_emulator.textspread`.

It prints the time from the publication of a configuration text until all entry
instances have accepted it, and the rate of calls to the platform.
"""

import dataclasses
import functools
import statistics
import time

import click

from peridotbend_emulator.fleet import Fleet, TargetSpec, wait_until

SERVICES = {
    "orders": {
        "engine": "application",
        "kinds": {
            "confirm": {
                "tier": "high",
                "idempotent": False,
                "deadline": "5s",
                "route": {"method": "POST", "path": "/v1/orders"},
            },
        },
    },
}
ZONES = ("hcm-1", "hcm-2", "hcm-3", "hcm-4")
ENTRIES_PER_ZONE = 2
REST_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PropagationResult:
    """Propagation times and rates of calls to the platform."""

    # For each version: from publication until the last instance accepted it.
    propagation_ms: tuple[float, ...]
    # Calls to the platform while versions are published, and while none is.
    publishing_calls_per_s: float
    idle_calls_per_s: float


def make_fleet() -> Fleet:
    """Returns a fleet of eight entry instances in four zones."""
    target_specs = [TargetSpec("orders-1", "orders", "hcm-1", "orders")]
    return Fleet(SERVICES, target_specs, ZONES, ENTRIES_PER_ZONE)


def measure_propagation(
    fleet: Fleet, versions: int, idle_s: float
) -> PropagationResult:
    """Publishes versions in sequence, then counts calls of the idle fleet."""
    start, calls_before = time.monotonic(), _count_platform_calls(fleet)
    propagation_ms = tuple(_time_propagation(fleet) for _ in range(versions))
    publishing_s, publishing_calls = (
        time.monotonic() - start,
        _count_platform_calls(fleet) - calls_before,
    )
    start, calls_before = time.monotonic(), _count_platform_calls(fleet)
    time.sleep(idle_s)
    idle_calls = _count_platform_calls(fleet) - calls_before
    idle_per_s = idle_calls / (time.monotonic() - start)
    return PropagationResult(
        propagation_ms, publishing_calls / publishing_s, idle_per_s
    )


def _time_propagation(fleet: Fleet) -> float:
    """Publishes a version and returns its propagation time in milliseconds."""
    start = time.monotonic()
    version = fleet.publish_text()
    last_ms = 0.0
    for name in fleet.list_running():
        has_version = functools.partial(_has_version, fleet, name, version)
        wait_until(has_version, f"version {version} at {name}")
        age_ms = fleet.read_status(name)["text_age_ms"]
        last_ms = max(last_ms, (time.monotonic() - start) * 1000 - age_ms)
    return last_ms


def _has_version(fleet: Fleet, name: str, version: int) -> bool:
    return int(fleet.read_status(name)["text_version"]) >= version


def _count_platform_calls(fleet: Fleet) -> int:
    counts = fleet.control("GET", "/control/counts").json()
    return int(counts["text"] + counts["instances"])


@click.command()
@click.option("--versions", default=20, help="Number of versions to publish.")
@click.option(
    "--rest-s", default=20.0, help="Time to count calls of the idle fleet."
)
def main(versions: int, rest_s: float) -> None:
    """Measures the propagation of a text to eight entry instances."""
    with make_fleet() as fleet:
        result = measure_propagation(fleet, versions, rest_s)
    print(
        f"{versions} versions in force on 8 instances:"
        f" median {statistics.median(result.propagation_ms):.0f} ms,"
        f" max {max(result.propagation_ms):.0f} ms;"
        f" platform calls/s: {result.publishing_calls_per_s:.1f}"
        " while publishing,"
        f" {result.idle_calls_per_s:.1f} at rest"
    )


if __name__ == "__main__":
    main()
