"""Count and time the requests of callers."""

from prometheus_client import CollectorRegistry, Counter, Histogram

#: The bound of 0.55 s is the target for the first token.
FIRST_REPLY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.55, 1, 2, 5, 10, 30)


class CallerMetrics:
    """Metrics of callers' requests."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._outcomes = Counter(
            "nutmegslip_requests",
            "Requests that have their final answer, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self._first_reply = Histogram(
            "nutmegslip_first_reply_seconds",
            "Time from a request's arrival to the first of its answer.",
            buckets=FIRST_REPLY_BUCKETS_S,
            registry=registry,
        )

    def count_outcome(self, outcome: str) -> None:
        """Count one finished request."""
        self._outcomes.labels(outcome).inc()

    def observe_first_reply(self, seconds: float) -> None:
        """Record how long a caller waited for the first reply."""
        self._first_reply.observe(seconds)
