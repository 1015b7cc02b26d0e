"""Tests of the gateway's metrics in the Prometheus text format."""

from prometheus_client import generate_latest

from fireflyquay.dispatch import RolloutPhase, RolloutView
from fireflyquay.gateway._gateway_metrics import GatewayMetrics


def test_each_gateway_exposes_only_its_own_metrics():
    metrics, other = GatewayMetrics(), GatewayMetrics()
    metrics.record_end("chat", "served", 0.2)
    metrics.record_end("chat", "OVERLOADED", 0.1)
    metrics.record_wait("llm", 0.04)
    metrics.record_attempt("llm", "DELIVERED")
    metrics.record_on_time(1)
    metrics.record_wasted_prefill("llm", 700)
    metrics.record_first_output("chat", 0.3)
    metrics.add_gauge("vms", "VMs that take requests.", lambda: 9)
    text = generate_latest(metrics.registry).decode()
    for line in (
        'requests_total{outcome="served",route="chat"} 1.0',
        'requests_total{outcome="OVERLOADED",route="chat"} 1.0',
        'wait_seconds_bucket{le="0.05",service="llm"} 1.0',
        'attempts_total{outcome="DELIVERED",service="llm"} 1.0',
        'goodput_total{rank="1"} 1.0',
        'wasted_prefill_tokens_total{service="llm"} 700.0',
        'first_output_seconds_count{route="chat"} 1.0',
        'request_seconds_sum{route="chat"} 0.3',
        "vms 9.0",
    ):
        assert f"fireflyquay_gateway_{line}" in text
    assert 'route="chat"' not in generate_latest(other.registry).decode()


def test_roll_outs_are_exposed_as_they_are_at_the_scrape():
    metrics, views = GatewayMetrics(), []
    metrics.add_rollouts(lambda: views)
    assert 'service="llm"' not in generate_latest(metrics.registry).decode()
    views.append(
        RolloutView("llm", "v2", RolloutPhase.SWITCH, 900, 120, 110, 108, 3, 2)
    )
    text = generate_latest(metrics.registry).decode()
    for line in (
        'phase{phase="SWITCH",service="llm",target="v2"} 1.0',
        'phase{phase="TRIAL",service="llm",target="v2"} 0.0',
        'exposure{kind="seen",service="llm"} 900.0',
        'exposure{kind="reserved",service="llm"} 120.0',
        'exposure{kind="granted",service="llm"} 110.0',
        'responses{kind="failures",service="llm"} 3.0',
        'responses{kind="slow",service="llm"} 2.0',
    ):
        assert f"fireflyquay_gateway_rollout_{line}" in text
