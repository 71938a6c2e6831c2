"""Counters and latency histograms, served as text for a scraper."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ('Metrics', 'register_gauge', 'render_metrics')

# Upper ends in seconds: from one hop to the longest deadline in the brief.
LATENCY_BUCKETS_S: Final = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
)  # fmt: skip


@dataclass(slots=True)
class Metrics:
    """What this node counts.

    Attributes
    ----------
    requests
        Final answers to clients, by route, service, outcome and reason.
    latency
        Seconds from a client's request to its final answer, by service.
    offers
        Requests sent to a target's node, by how that ended.
    work
        Seconds that the local target took for an answer.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    requests: Counter = field(init=False)
    request_latency: Histogram = field(init=False)
    offers: Counter = field(init=False)
    target_latency: Histogram = field(init=False)
    probes: Counter = field(init=False)
    store_calls: Counter = field(init=False)
    versions: Counter = field(init=False)

    def __post_init__(self) -> None:
        registry = self.registry
        self.requests = Counter(
            'marjoramlead_requests',
            'Final answers to clients.',
            ['service', 'outcome', 'reason'],
            registry=registry,
        )
        self.request_latency = Histogram(
            'marjoramlead_request_seconds',
            'From a request to its final answer.',
            ['service'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.offers = Counter(
            'marjoramlead_offers',
            'Requests sent to the node of a target.',
            ['reason'],
            registry=registry,
        )
        self.target_latency = Histogram(
            'marjoramlead_target_seconds',
            'Time that the local target took for an answer.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.probes = Counter(
            'marjoramlead_probes',
            'Probes of the local target.',
            registry=registry,
        )
        self.store_calls = Counter(
            'marjoramlead_store_calls',
            'Calls to the store of the platform.',
            ['outcome'],
            registry=registry,
        )
        self.versions = Counter(
            'marjoramlead_versions',
            'Versions of the routing put in force.',
            registry=registry,
        )


def register_gauge(
    metrics: Metrics,
    name: str,
    description: str,
    read_value: Callable[[], float],
) -> None:
    """Serve a value that is read whenever the metrics are."""
    gauge = Gauge(
        f'marjoramlead_{name}', description, registry=metrics.registry
    )
    gauge.set_function(read_value)


def render_metrics(metrics: Metrics) -> bytes:
    """Render all metrics in the usual text format."""
    return generate_latest(metrics.registry)
