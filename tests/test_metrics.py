"""Tests of the Prometheus metrics."""

import unittest

from peridotbend.adapters.metrics import PrometheusMeter
from peridotbend.domain.clock import ManualClock
from peridotbend.domain.ports import Meter
from peridotbend.domain.verdicts import Completed, MayHaveRun, NotRun, Reason


class PrometheusMeterTest(unittest.TestCase):
    """The rendered series."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.prometheus = PrometheusMeter(self.clock)
        self.meter: Meter = self.prometheus

    def read(self) -> dict[str, float]:
        """Returns the value of each series."""
        lines = self.prometheus.render().decode().splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if line[0] != "#")
        return {name: float(value) for name, value in pairs}

    def test_requests_are_counted_by_outcome(self) -> None:
        """Guards against verdicts, sheds and goodput under wrong labels."""
        self.meter.count_verdict("chat", "low", Completed())
        self.meter.count_verdict("chat", "low", NotRun(Reason.DEADLINE))
        self.meter.count_verdict("chat", "low", MayHaveRun(Reason.FORGOTTEN))
        self.meter.count_goodput("chat", "low")
        self.meter.count_shed("chat", "high")
        self.meter.count_wasted_prefill("chat", 70)
        found = self.read()
        labels = 'service="chat",tier="low"'
        for verdict, reason in (
            ("completed", ""),
            ("not-run", "deadline"),
            ("may-have-run", "forgotten"),
        ):
            series = (
                f'peridotbend_verdicts_total{{reason="{reason}",{labels},'
                f'verdict="{verdict}"}}'
            )
            assert found[series] == 1, found
        prefix = "peridotbend"
        assert found[f"{prefix}_goodput_requests_total{{{labels}}}"] == 1
        shed = 'shed_requests_total{service="chat",tier="high"}'
        assert found[f"{prefix}_{shed}"] == 1
        wasted = 'wasted_prefill_tokens_total{service="chat"}'
        assert found[f"{prefix}_{wasted}"] == 70

    def test_queue_wait_is_in_seconds(self) -> None:
        """Guards against recording milliseconds in a histogram of seconds."""
        self.meter.observe_queue_wait("low", 40)
        found = self.read()
        series = "peridotbend_queue_wait_seconds"
        assert found[f'{series}_sum{{tier="low"}}'] == 0.04
        assert found[f'{series}_bucket{{le="0.025",tier="low"}}'] == 0
        assert found[f'{series}_bucket{{le="0.05",tier="low"}}'] == 1

    def test_text_age_follows_the_clock(self) -> None:
        """Guards against an age that is frozen or set before the first text."""
        before = self.read()["peridotbend_text_age_seconds"]
        assert before != before, "the age is NaN before the first text"
        self.prometheus.record_text(12)
        self.clock.advance(2_500)
        found = self.read()
        assert found["peridotbend_text_version"] == 12
        assert found["peridotbend_text_age_seconds"] == 2.5

    def test_meters_do_not_share_a_registry(self) -> None:
        """Guards against meters in one process that share their counts."""
        self.meter.count_shed("chat", "low")
        other = PrometheusMeter(self.clock).render()
        assert b'tier="low"' not in other
