"""What came of a run, in the figures that users measure."""

from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.engines import Job

URGENT = 'urgent'


@dataclass(frozen=True)
class Summary:
    """Figures of one run.

    Parameters
    ----------
    first_s : dict of str to tuple of float
        p50, p99 and p99.9 of the seconds to the first token, by class. A
        request that was given up counts with its whole deadline; a refused
        one is counted apart.
    useful : float
        Share of all requests that were answered within their deadline.
    tokens_per_s : float
        Output tokens a second of these answers, over the trace's length.
    cost : float
        Price of what was generated, for each 1,000 tokens of output.
    away : float
        Share of served requests that another region than the home served.
    hits : float
        Share of the shared prompt starts that were cached.
    """

    first_s: dict[str, tuple[float, ...]]
    total_s: dict[str, tuple[float, ...]]
    useful: float
    tokens_per_s: float
    refused: float
    cost: float
    away: float
    hits: float


def quantiles(seconds: Iterable[float]) -> tuple[float, ...]:
    """Return p50, p99 and p99.9."""
    ordered = sorted(seconds)
    if not ordered:
        return (0.0, 0.0, 0.0)
    last = len(ordered) - 1
    return tuple(ordered[int(last * part)] for part in (0.5, 0.99, 0.999))


def summarize(jobs: list[Job]) -> Summary:
    """Return the figures of a run."""
    classes = sorted({job.request.request_class for job in jobs})
    served = [job for job in jobs if job.end_s is not None]
    chat = [job for job in served if job.request.model]
    tokens = sum(job.request.output_tokens for job in chat)
    shared = sum(job.request.prefix_tokens for job in chat)
    away = [job for job in served if job.served_by.region != job.request.home]
    return Summary(
        first_s={name: quantiles(waits(jobs, name)) for name in classes},
        total_s={name: quantiles(totals(jobs, name)) for name in classes},
        useful=len(served) / len(jobs),
        tokens_per_s=tokens / jobs[-1].request.arrival_s,
        refused=sum(job.refused for job in jobs) / len(jobs),
        cost=sum(map(price, chat)) / max(1, tokens),
        away=len(away) / max(1, len(served)),
        hits=sum(job.cached_tokens for job in chat) / max(1, shared),
    )


def price(job: Job) -> float:
    """Return what a request's answer cost."""
    return job.served_by.price * job.request.output_tokens


def waits(jobs: list[Job], request_class: str) -> list[float]:
    """Return the seconds to the first token of a class."""
    return [
        job.request.deadline_s
        if job.first_token_s is None
        else job.first_token_s - job.request.arrival_s
        for job in jobs
        if job.request.request_class == request_class and not job.refused
    ]


def totals(jobs: list[Job], request_class: str) -> list[float]:
    """Return the seconds to the last token of a class."""
    return [
        job.request.deadline_s
        if job.end_s is None
        else job.end_s - job.request.arrival_s
        for job in jobs
        if job.request.request_class == request_class and not job.refused
    ]
