"""Tests of real daemons whose platform names the largest numbers."""

import unittest
from typing import Any

from peridotbend.platform import wire
from peridotbend.platform.fields import MAX_NUMBER
from tests.edgefleet import CONFIG, HOSTS, EdgeFleet, run_with_fleet
from tests.test_edge_platform import SETTINGS_DOCUMENT


def raise_numbers(document: Any) -> Any:
    """Returns a copy of a document with all its numbers at their bound."""
    if isinstance(document, dict):
        return {key: raise_numbers(value) for key, value in document.items()}
    if isinstance(document, list):
        return [raise_numbers(value) for value in document]
    if isinstance(document, int | float) and not isinstance(document, bool):
        return MAX_NUMBER
    return document


class LargestNumberTest(unittest.TestCase):
    """Numbers that are decoded and then used in arithmetic and in calls."""

    def test_largest_numbers_do_not_stop_the_service(self) -> None:
        """Guards against a value that is decoded and that no use can take."""

        async def check(fleet: EdgeFleet) -> None:
            config = raise_numbers(CONFIG)
            # A fresh process may not spend the largest number at once.
            config["tenants"][0]["uncached_tokens"] = 1
            fleet.store.put(wire.CONFIG_KEY, config)
            bounds = raise_numbers(SETTINGS_DOCUMENT["bounds"])
            for host in HOSTS:
                fleet.spawn(host, bounds=bounds, heartbeat_ms=MAX_NUMBER)
            for host in HOSTS:
                await fleet.wait_ready(host)
            for number in range(8):
                for path in ("/orders/1", "/quotes/1"):
                    host = HOSTS[number % 2]
                    answer = await fleet.call(host, path, f"{path}{number}")
                    assert answer.status == 200, answer

        run_with_fleet(check)
