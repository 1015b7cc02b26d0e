"""Metrics of a gateway in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import StrEnum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    Metric,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from fireflyquay.dispatch import RolloutPhase, RolloutView
from fireflyquay.links import HttpRequest, HttpResponder

# Upper bounds from a fraction to several times the usual latency objectives.
DURATION_BUCKETS_SECONDS = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 4, 8, 15)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StoreRead(StrEnum):
    """Name what a VM reads from the store again and again."""

    CONFIG = "CONFIG"
    BACKENDS = "BACKENDS"


class _RolloutCollector(Collector):
    """Collect the phase, exposure and evidence of each roll-out."""

    def __init__(self, list_views: Callable[[], list[RolloutView]]) -> None:
        self._list_views = list_views

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics of all roll-outs."""
        phase = self._make_gauge(
            "phase", "Whether a roll-out is in a phase.", "target", "phase"
        )
        exposure = self._make_gauge(
            "exposure", "Requests of a service, and those of its target.", "kind"
        )
        evidence = self._make_gauge(
            "responses", "Responses of a target by what they prove.", "kind"
        )
        for view in self._list_views():
            for it in RolloutPhase:
                labels = (view.service, view.target, it.value)
                phase.add_metric(labels, float(view.phase is it))
            for kind in ("seen", "reserved", "granted"):
                exposure.add_metric((view.service, kind), getattr(view, kind))
            for kind in ("responses", "failures", "slow"):
                evidence.add_metric((view.service, kind), getattr(view, kind))
        yield from (phase, exposure, evidence)

    def _make_gauge(self, name: str, help_text: str, *labels: str) -> GaugeMetricFamily:
        name = f"fireflyquay_gateway_rollout_{name}"
        return GaugeMetricFamily(name, help_text, labels=("service", *labels))


class GatewayMetrics:
    """Collect metrics of requests and of the gateway's state."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = self._make_counter(
            "requests", "Requests ended.", "route", "outcome"
        )
        self._attempts = self._make_counter(
            "attempts", "Requests sent to backend servers.", "service", "outcome"
        )
        self._goodput = self._make_counter(
            "goodput", "Requests answered within their objectives.", "rank"
        )
        self._wasted_prefill_tokens = self._make_counter(
            "wasted_prefill_tokens",
            "Prompt tokens of runs that no client got an answer from.",
            "service",
        )
        self._wait_seconds = self._make_histogram(
            "wait_seconds", "Time until a place.", "service"
        )
        self._request_seconds = self._make_histogram(
            "request_seconds", "Time from arrival to the end.", "route"
        )
        self._first_output_seconds = self._make_histogram(
            "first_output_seconds", "Time from arrival to the first output.", "route"
        )
        self._unexpected_errors = self._make_counter(
            "unexpected_errors", "Faults of the program, by what they ended.", "work"
        )
        self._store_reads = self._make_counter(
            "store_reads", "Reads of the store.", "kind", "outcome"
        )
        self._config_delay_seconds = self._make_histogram(
            "config_delay_seconds",
            "Time for which a configuration that came into force was known elsewhere.",
        )

    def record_unexpected_error(self, work: str) -> None:
        """Record an error that no code expects, by the work that it ended."""
        self._unexpected_errors.labels(work).inc()

    def record_store_read(self, kind: StoreRead, succeeded: bool) -> None:
        """Record the outcome of a read of the store."""
        self._store_reads.labels(kind.value, "read" if succeeded else "failed").inc()

    def record_config_delay(self, seconds: float) -> None:
        """Record how long another VM had a configuration before this one."""
        self._config_delay_seconds.observe(seconds)

    def record_end(self, route: str, outcome: str, seconds: float) -> None:
        """Record the outcome and duration of a request."""
        self._requests.labels(route, outcome).inc()
        self._request_seconds.labels(route).observe(seconds)

    def record_wait(self, service: str, seconds: float) -> None:
        """Record the wait of a request that got a slot."""
        self._wait_seconds.labels(service).observe(seconds)

    def record_attempt(self, service: str, outcome: str) -> None:
        """Record the outcome of an attempt at a backend server."""
        self._attempts.labels(service, outcome).inc()

    def record_on_time(self, rank: int) -> None:
        """Record a request that met its latency objectives."""
        self._goodput.labels(rank).inc()

    def record_wasted_prefill(self, service: str, tokens: int) -> None:
        """Record the prompt tokens of a run whose response was lost."""
        self._wasted_prefill_tokens.labels(service).inc(tokens)

    def record_first_output(self, route: str, seconds: float) -> None:
        """Record the time to the first output of a request."""
        self._first_output_seconds.labels(route).observe(seconds)

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read on each scrape."""
        gauge = Gauge(f"fireflyquay_gateway_{name}", help_text, registry=self.registry)
        gauge.set_function(read)

    def add_rollouts(self, list_views: Callable[[], list[RolloutView]]) -> None:
        """Register metrics of the roll-outs, which are listed on each scrape."""
        self.registry.register(_RolloutCollector(list_views))

    async def serve(self, request: HttpRequest, responder: HttpResponder) -> None:
        """Respond with all metrics."""
        headers = {"Content-Type": CONTENT_TYPE}
        await responder.send(200, headers, generate_latest(self.registry))

    def _make_counter(self, name: str, help_text: str, *labels: str) -> Counter:
        name = f"fireflyquay_gateway_{name}"
        return Counter(name, help_text, labels, registry=self.registry)

    def _make_histogram(self, name: str, help_text: str, *labels: str) -> Histogram:
        name = f"fireflyquay_gateway_{name}"
        return Histogram(
            name,
            help_text,
            labels,
            buckets=DURATION_BUCKETS_SECONDS,
            registry=self.registry,
        )
