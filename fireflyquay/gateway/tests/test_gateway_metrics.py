"""Tests of the gateway's metrics in the Prometheus text format."""

from prometheus_client import generate_latest

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
