"""What came of a replay: histograms and the three measures."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

from godwitshunt.replay.traces import TraceRequest

LONGEST_US = 3_600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
QUANTILES = (50.0, 99.0, 99.9)
TOKENS_PER_PRICE = 1000


class Ending(StrEnum):
    """How a request ended, as its caller sees it."""

    whole = 'whole'
    late = 'late'
    refused = 'refused'
    unknown = 'unknown'
    broken = 'broken'


@dataclass(frozen=True)
class Sample:
    """One request's end.

    Parameters
    ----------
    first_s, total_s : float or None
        Seconds from the stated arrival until the first byte of the answer's
        body and until its end; None where there was none. The time that a
        request waited in an overloaded sender is included.
    region : str or None
        Who served it, as the answer's header tells.
    """

    request: TraceRequest
    ending: Ending
    first_s: float | None = None
    total_s: float | None = None
    region: str | None = None
    entry: str | None = None


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


@dataclass
class Timings:
    """Histograms of the first token and of the whole answer."""

    first: HdrHistogram = field(default_factory=make_histogram)
    total: HdrHistogram = field(default_factory=make_histogram)

    def add(self, sample: Sample) -> None:
        """Count the times of one request."""
        if sample.first_s is not None:
            self.first.record_value(max(1, int(sample.first_s * MICROSECONDS)))
        if sample.total_s is not None:
            self.total.record_value(max(1, int(sample.total_s * MICROSECONDS)))

    def document(self) -> dict[str, Any]:
        """Return quantiles in seconds."""
        return {
            'first_s': quantiles(self.first),
            'total_s': quantiles(self.total),
        }


def quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return p50, p99 and p99.9 in seconds."""
    return {
        f'p{quantile:g}': histogram.get_value_at_percentile(quantile)
        / MICROSECONDS
        for quantile in QUANTILES
    }


@dataclass
class Results:
    """Everything that a replay measured.

    Parameters
    ----------
    prices : dict of str to float
        Cost of 1,000 generated tokens, by region.
    """

    prices: dict[str, float]
    endings: Counter[Ending] = field(default_factory=Counter)
    by_class: defaultdict[str, Timings] = field(
        default_factory=lambda: defaultdict(Timings),
    )
    by_caller: defaultdict[str, Timings] = field(
        default_factory=lambda: defaultdict(Timings),
    )
    ended: defaultdict[str, Counter[Ending]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    cost: float = 0.0
    tokens: int = 0
    served: int = 0
    away: int = 0

    @classmethod
    def from_samples(
        cls,
        samples: Iterable[Sample],
        prices: dict[str, float],
    ) -> 'Results':
        """Return the results of finished requests."""
        results = cls(prices)
        for sample in samples:
            results.add(sample)
        return results

    def add(self, sample: Sample) -> None:
        """Count one request."""
        request = sample.request
        self.endings[sample.ending] += 1
        self.ended[request.request_class][sample.ending] += 1
        self.by_class[request.request_class].add(sample)
        self.by_caller[request.caller].add(sample)
        if sample.region is None or sample.ending is Ending.refused:
            return
        self.served += 1
        self.away += sample.region != request.home
        self.tokens += request.output_tokens
        price = self.prices.get(sample.region, 0.0)
        self.cost += price * request.output_tokens / TOKENS_PER_PRICE

    @property
    def share_away(self) -> float:
        """Share of served requests that left their home region."""
        return self.away / max(1, self.served)

    @property
    def useful_share(self) -> float:
        """Share of requests answered whole within their deadline."""
        return self.share(Ending.whole)

    def share(self, ending: Ending) -> float:
        """Return the share of requests that ended in a way."""
        return self.endings[ending] / max(1, self.endings.total())

    def first_p99_s(self, request_class: str) -> float:
        """Return the p99 of the seconds to the first token of a class."""
        timings = self.by_class[request_class]
        return quantiles(timings.first)['p99']

    def document(self) -> dict[str, Any]:
        """Return everything as a document for a file."""
        return {
            'requests': self.endings.total(),
            'endings': endings_document(self.endings),
            'cost': self.cost,
            'share_away': self.share_away,
            'useful_share': self.useful_share,
            'classes': {
                name: {
                    **timings.document(),
                    'endings': endings_document(self.ended[name]),
                }
                for name, timings in sorted(self.by_class.items())
            },
            'callers': {
                name: timings.document()
                for name, timings in sorted(self.by_caller.items())
            },
        }


def endings_document(endings: Counter[Ending]) -> dict[str, int]:
    """Return the counts of all endings."""
    return {ending.value: endings[ending] for ending in Ending}


def render(results: Results) -> str:
    """Return a table for people: by class, then the three measures."""
    lines = [
        f'{"class":12}{"requests":>9}{"first p50":>11}{"p99":>9}{"p99.9":>9}'
        f'{"total p99":>11}{"refused":>9}{"failed":>8}',
    ]
    for name, timings in sorted(results.by_class.items()):
        first = quantiles(timings.first)
        ended = results.ended[name]
        failed = ended.total() - ended[Ending.whole] - ended[Ending.refused]
        lines.append(
            f'{name:12}{ended.total():9}{first["p50"]:11.3f}'
            f'{first["p99"]:9.3f}{first["p99.9"]:9.3f}'
            f'{quantiles(timings.total)["p99"]:11.3f}'
            f'{ended[Ending.refused]:9}{failed:8}',
        )
    lines.append(
        f'cost {results.cost:.2f}, share away {results.share_away:.4f}, '
        f'useful {results.useful_share:.4f} of {results.endings.total()}',
    )
    return '\n'.join(lines)
