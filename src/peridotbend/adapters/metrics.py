"""Metrics in the Prometheus text format."""

import math

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from peridotbend.domain.clock import Clock
from peridotbend.domain.verdicts import Completed, Verdict

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Up to 5 minutes; forecast requests that wait for hours fall into the last
# bucket, which has no upper bound.
QUEUE_WAIT_BUCKETS_S = (
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
    300,
)  # fmt: skip


class PrometheusMeter:
    """Meter with its own registry, so that meters in a test are separate.

    Label values come from the configuration text and from enums, never from
    callers, which bounds the number of time series.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._accepted_at_ms: int | None = None
        self._registry = CollectorRegistry()
        self._add_request_counters()
        self._add_text_gauges()

    def _add_request_counters(self) -> None:
        registry = self._registry
        self._verdicts = Counter(
            "peridotbend_verdicts",
            "Requests by the verdict that they ended with.",
            ("service", "tier", "verdict", "reason"),
            registry=registry,
        )
        self._goodput = Counter(
            "peridotbend_goodput_requests",
            "Requests that completed before their deadline.",
            ("service", "tier"),
            registry=registry,
        )
        self._sheds = Counter(
            "peridotbend_shed_requests",
            "Requests that were shed.",
            ("service", "tier"),
            registry=registry,
        )
        self._wasted = Counter(
            "peridotbend_wasted_prefill_tokens",
            "Prompt tokens whose processing was thrown away or redone.",
            ("service",),
            registry=registry,
        )
        self._waits = Histogram(
            "peridotbend_queue_wait_seconds",
            "Time that requests waited for a target.",
            ("tier",),
            buckets=QUEUE_WAIT_BUCKETS_S,
            registry=registry,
        )

    def _add_text_gauges(self) -> None:
        self._version = Gauge(
            "peridotbend_text_version",
            "Version of the text in force; 0 before the first.",
            registry=self._registry,
        )
        age = Gauge(
            "peridotbend_text_age_seconds",
            "Time since the text in force was accepted; NaN before the first.",
            registry=self._registry,
        )
        age.set_function(self._find_text_age_s)

    def _find_text_age_s(self) -> float:
        if self._accepted_at_ms is None:
            return math.nan
        return (self._clock.now_ms() - self._accepted_at_ms) / 1_000

    def count_verdict(self, service: str, tier: str, verdict: Verdict) -> None:
        """Counts the verdict that a request ended with."""
        reason = "" if isinstance(verdict, Completed) else verdict.reason.value
        self._verdicts.labels(service, tier, verdict.label, reason).inc()

    def count_goodput(self, service: str, tier: str) -> None:
        """Counts a request that completed before its deadline."""
        self._goodput.labels(service, tier).inc()

    def count_shed(self, service: str, tier: str) -> None:
        """Counts a request that was shed."""
        self._sheds.labels(service, tier).inc()

    def count_wasted_prefill(self, service: str, tokens: int) -> None:
        """Counts prompt tokens whose processing was thrown away or redone."""
        self._wasted.labels(service).inc(tokens)

    def observe_queue_wait(self, tier: str, wait_ms: int) -> None:
        """Records how long a request waited for a target."""
        self._waits.labels(tier).observe(wait_ms / 1_000)

    def record_text(self, version: int) -> None:
        """Records that a configuration text was accepted now."""
        self._version.set(version)
        self._accepted_at_ms = self._clock.now_ms()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format 0.0.4."""
        return generate_latest(self._registry)
