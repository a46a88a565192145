"""Measures how long a text takes: `python -m peridotbend_emulator.textspread`.

It prints the time from the publication of a version until it is in force on
all entry instances, and the calls to the platform.
"""

import dataclasses
import functools
import statistics
import time

import click

from peridotbend_emulator.fleet import Backend, Fleet, wait_until

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
class Spread:
    """What was measured."""

    # From the publication to the last acceptance, for each version.
    in_force_ms: tuple[float, ...]
    # Calls to the platform while versions were published, and at rest.
    busy_calls_per_s: float
    rest_calls_per_s: float


def make_fleet() -> Fleet:
    """Returns a fleet of eight entry instances in four zones."""
    backends = [Backend("orders-1", "orders", "hcm-1", "orders")]
    return Fleet(SERVICES, backends, ZONES, ENTRIES_PER_ZONE)


def measure_spread(fleet: Fleet, versions: int, rest_s: float) -> Spread:
    """Publishes versions one after another, then lets the fleet rest."""
    start, calls = time.monotonic(), _count_calls(fleet)
    times = tuple(_publish(fleet) for _ in range(versions))
    busy_s, busy = time.monotonic() - start, _count_calls(fleet) - calls
    start, calls = time.monotonic(), _count_calls(fleet)
    time.sleep(rest_s)
    rest_calls = _count_calls(fleet) - calls
    rest_per_s = rest_calls / (time.monotonic() - start)
    return Spread(times, busy / busy_s, rest_per_s)


def _publish(fleet: Fleet) -> float:
    """Returns the milliseconds until the new version is in force."""
    start = time.monotonic()
    version = fleet.publish_text()
    last_ms = 0.0
    for name in fleet.list_running():
        accepted = functools.partial(_is_in_force, fleet, name, version)
        wait_until(accepted, f"version {version} at {name}")
        age_ms = fleet.read_status(name)["text_age_ms"]
        last_ms = max(last_ms, (time.monotonic() - start) * 1000 - age_ms)
    return last_ms


def _is_in_force(fleet: Fleet, name: str, version: int) -> bool:
    return int(fleet.read_status(name)["text_version"]) >= version


def _count_calls(fleet: Fleet) -> int:
    counts = fleet.control("GET", "/control/counts").json()
    return int(counts["text"] + counts["instances"])


@click.command()
@click.option("--versions", default=20, help="How many to publish.")
@click.option("--rest-s", default=20.0, help="Time of the count at rest.")
def main(versions: int, rest_s: float) -> None:
    """Measures the spread of a text over eight entry instances."""
    with make_fleet() as fleet:
        spread = measure_spread(fleet, versions, rest_s)
    print(
        f"{versions} versions in force on 8 instances:"
        f" median {statistics.median(spread.in_force_ms):.0f} ms,"
        f" max {max(spread.in_force_ms):.0f} ms;"
        f" platform calls/s: {spread.busy_calls_per_s:.1f} while publishing,"
        f" {spread.rest_calls_per_s:.1f} at rest"
    )


if __name__ == "__main__":
    main()
