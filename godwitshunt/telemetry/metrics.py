"""Metrics of one process, rendered in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    30.0,
    float('inf'),
)


class Metrics:
    """Metrics of one process, registered at first use.

    Metric and label names are fixed in the code. Label values are names from
    the manifest, so that requests cannot create new time series.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count('requests_total', region='kochi')
    >>> b'requests_total{region="kochi"} 1' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.metrics: dict[str, Counter | Gauge | Histogram] = {}
        # Increases since the last rendering. The library encodes the labels of
        # each increase, and several belong to each request.
        self.increases: dict[tuple[str, tuple], int] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""
        key = (name, tuple(labels.items()))
        self.increases[key] = self.increases.get(key, 0) + amount

    def gauge(self, name: str, reading: float, **labels: str) -> None:
        """Set a gauge."""
        self.metric(name, Gauge).set(labels, reading)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration, in seconds, in a histogram."""
        self.metric(name, Histogram).observe(labels, seconds)

    def metric(self, name: str, kind: type) -> Counter | Gauge | Histogram:
        """Return a metric, created and registered at first use."""
        if name not in self.metrics:
            options = {'registry': self.registry}
            if kind is Histogram:
                options['buckets'] = SECONDS_BUCKETS
            self.metrics[name] = kind(name, name.replace('_', ' '), **options)
        return self.metrics[name]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for (name, labels), amount in self.increases.items():
            self.metric(name, Counter).add(dict(labels), amount)
        self.increases.clear()
        body, _ = render(self.registry, ['text/plain'])
        return body
