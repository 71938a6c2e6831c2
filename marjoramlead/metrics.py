"""Metrics of a node, in the Prometheus text format."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ('Metrics', 'register_gauge', 'render_metrics', 'traffic_counter')

# Upper bounds, from the duration of one hop to the longest request deadline.
LATENCY_BUCKETS_S: Final = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
)  # fmt: skip
MAX_CACHED_CHILDREN: Final = 1024


@dataclass(slots=True)
class Metrics:
    """Counters and histograms of one node.

    Attributes
    ----------
    requests
        Client requests that have ended, by service, origin, outcome and reason.
        The origin is a client, one that was refused before, or a request that
        runs at the local target.
    request_latency
        Seconds from a client's request to its final response, by service.
    offers
        Attempts offered to targets, local or remote, by the reason of refusal
        or ``answered``.
    target_latency
        Seconds from sending a request to the local target to its response.
    abandoned
        Jobs whose sender disconnected, by stage: ``waiting`` for a slot,
        ``receiving`` the body, ``running``, or ``kept`` running because the
        route is not idempotent.
    link_refused
        Requests refused because their answers would leave the link too late.
    probes
        Probes of the local target.
    store_calls
        Requests to the platform's store, by outcome.
    versions
        Routing versions that have been applied.
    traffic
        Bytes exchanged as a client of the store and of other nodes, by
        purpose and direction.
    quota
        Requests with a token of their client account (``used``), questions for
        tokens (``asked``), and refusals by reason.
    hop_acknowledgement
        Seconds from offering a request to another node until that node
        acknowledges it.
    """

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    requests: Counter = field(init=False)
    request_latency: Histogram = field(init=False)
    offers: Counter = field(init=False)
    target_latency: Histogram = field(init=False)
    abandoned: Counter = field(init=False)
    link_refused: Counter = field(init=False)
    probes: Counter = field(init=False)
    store_calls: Counter = field(init=False)
    versions: Counter = field(init=False)
    traffic: Counter = field(init=False)
    hop_acknowledgement: Histogram = field(init=False)
    quota: Counter = field(init=False)

    def __post_init__(self) -> None:
        registry = self.registry
        self.requests = Counter(
            'marjoramlead_requests',
            'Client requests that have ended.',
            ['service', 'origin', 'outcome', 'reason'],
            registry=registry,
        )
        self.request_latency = Histogram(
            'marjoramlead_request_seconds',
            'Time from a client request to its final response.',
            ['service'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.offers = Counter(
            'marjoramlead_offers',
            'Attempts offered to targets, local or remote.',
            ['reason'],
            registry=registry,
        )
        self.target_latency = Histogram(
            'marjoramlead_target_seconds',
            'Time from sending a request to the local target to its response.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.abandoned = Counter(
            'marjoramlead_abandoned',
            'Jobs whose sender disconnected before they ended.',
            ['stage'],
            registry=registry,
        )
        self.link_refused = Counter(
            'marjoramlead_link_refused',
            'Requests whose answers would leave the link too late.',
            registry=registry,
        )
        self.probes = Counter(
            'marjoramlead_probes',
            'Probes of the local target.',
            registry=registry,
        )
        self.store_calls = Counter(
            'marjoramlead_store_calls',
            "Requests to the platform's store.",
            ['outcome'],
            registry=registry,
        )
        self.versions = Counter(
            'marjoramlead_versions',
            'Routing versions that have been applied.',
            registry=registry,
        )
        self.traffic = Counter(
            'marjoramlead_traffic_bytes',
            'Bytes exchanged with the store and other nodes.',
            ['purpose', 'direction'],
            registry=registry,
        )
        self.quota = Counter(
            'marjoramlead_quota',
            'Tokens of client accounts used and asked for, and refusals.',
            ['event'],
            registry=registry,
        )
        for metric in (self.requests, self.request_latency, self.offers):
            _cache_children(metric)
        self.hop_acknowledgement = Histogram(
            'marjoramlead_hop_acknowledgement_seconds',
            'Time from offering a request to a node to its acknowledgement.',
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )


def _cache_children(metric: Counter | Histogram) -> None:
    """Look up the children of a metric without converting their labels.

    A metric keeps its children, so nothing is kept in addition but the keys.
    """
    cached = lru_cache(maxsize=MAX_CACHED_CHILDREN)(metric.labels)
    metric.labels = cached  # type: ignore[method-assign, assignment]


def traffic_counter(
    metrics: Metrics, purpose: str
) -> Callable[[int, int], None]:
    """Return a function that counts bytes sent and received for a purpose."""
    sent = metrics.traffic.labels(purpose, 'sent')
    received = metrics.traffic.labels(purpose, 'received')

    def count(sent_bytes: int, received_bytes: int) -> None:
        if sent_bytes:
            sent.inc(sent_bytes)
        if received_bytes:
            received.inc(received_bytes)

    return count


def register_gauge(
    metrics: Metrics,
    name: str,
    description: str,
    read_value: Callable[[], float],
) -> None:
    """Register a gauge whose value is read at each scrape.

    Parameters
    ----------
    metrics
        Metrics to add the gauge to.
    name
        Name of the gauge, without the prefix ``marjoramlead_``.
    description
        Help text of the gauge.
    read_value
        Returns the current value.
    """
    gauge = Gauge(
        f'marjoramlead_{name}', description, registry=metrics.registry
    )
    gauge.set_function(read_value)


def render_metrics(metrics: Metrics) -> bytes:
    """Render all metrics in the Prometheus text format."""
    return generate_latest(metrics.registry)
