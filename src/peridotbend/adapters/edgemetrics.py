"""Metrics of an entry instance on the users' platform."""

import functools
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from peridotbend.adapters.asgi import Send, respond
from peridotbend.adapters.metrics import CONTENT_TYPE

METRICS_PATH = "/metrics"
# From the latency objective of a plain call to the longest time limit.
LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30,
)  # fmt: skip


class EdgeMetrics:
    """Counters and latencies of an instance.

    Label values come from enums, never from callers, which bounds the number
    of time series.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "peridotbend_edge_requests",
            "Requests by the kind of their route and how they ended.",
            ("kind", "outcome"),
            registry=self._registry,
        )
        self._latency = Histogram(
            "peridotbend_edge_request_seconds",
            "Time from the whole request to the end of its answer.",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._sends = Counter(
            "peridotbend_edge_sends",
            "Sends to targets by how they ended.",
            ("outcome",),
            registry=self._registry,
        )
        self._broken = Counter(
            "peridotbend_edge_broken_answers",
            "Answers that began and broke off, by what the request waited for"
            " and whether the instance was shutting down.",
            ("phase", "draining"),
            registry=self._registry,
        )

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read whenever the metrics are scraped."""
        gauge = Gauge(
            f"peridotbend_edge_{name}", description, registry=self._registry
        )
        gauge.set_function(read)

    def add_gauges(
        self,
        name: str,
        description: str,
        label: str,
        values: Iterable[str],
        read: Callable[[str], float],
    ) -> None:
        """Adds a gauge for each value of a label, read like `add_gauge`."""
        gauge = Gauge(
            f"peridotbend_edge_{name}",
            description,
            (label,),
            registry=self._registry,
        )
        for value in values:
            gauge.labels(value).set_function(functools.partial(read, value))

    def observe_end(self, kind: str, outcome: str, took_ms: int) -> None:
        """Counts a request that ended; `kind` is the kind of its route."""
        self._requests.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(took_ms / 1_000)

    def count_send(self, outcome: str) -> None:
        """Counts a finished send to a target."""
        self._sends.labels(outcome).inc()

    def count_broken(self, phase: str, is_draining: bool) -> None:
        """Counts an answer that began and broke off."""
        self._broken.labels(phase, "yes" if is_draining else "no").inc()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Send,
    ) -> None:
        """Serves the metrics as an ASGI application."""
        if scope["type"] != "http":
            return
        found = scope["path"] == METRICS_PATH
        body = generate_latest(self._registry) if found else b""
        headers = [
            (b"content-type", CONTENT_TYPE.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        await respond(send, 200 if found else 404, headers, body)
