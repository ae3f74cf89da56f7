"""Fair shares of organisations, by virtual time; no I/O.

Answers a load in which one organisation sends several times its usual rate:
without shares it fills the queue, and the requests of all others expire
behind it.

References
----------
Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from dataclasses import dataclass, field
from math import exp, inf
from statistics import median_low

# Older work of an organisation counts less by this time constant. A shorter
# one would take a few large prompts of a small organisation for a burst.
USAGE_MEMORY_S = 4.0
METER_STEP_S = 0.02
# An organisation bursts if it asks for this multiple of what the others ask
# for. At 2, organisations of equal rates exceeded it at times by chance.
BURST_FACTOR = 3.0
# It also asks for this multiple of its fair share. Otherwise a few large
# prompts by chance would make a burst.
FAIR_FACTOR = 1.25


@dataclass
class VirtualTime:
    """Virtual time of the flows that share one capacity.

    The flow with the earliest tag is served next. An idle flow collects no
    credit: its tag is that of the last start once it has requests again.

    Parameters
    ----------
    now : float
        Tag of the last start, in tokens by weight.
    finish : dict
        By flow, the tag at which its next request starts.

    Examples
    --------
    >>> time = VirtualTime()
    >>> for _ in range(3):
    ...     time.charge('large', 100.0)
    >>> time.tag('large'), time.tag('small')
    (300.0, 200.0)
    """

    now: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)

    def tag(self, flow: str) -> float:
        """Return the virtual time at which a flow's next request starts."""
        return max(self.now, self.finish.get(flow, 0.0))

    def charge(self, flow: str, tokens: float, weight: float = 1.0) -> None:
        """Advance a flow by the work of a request that starts.

        Parameters
        ----------
        weight : float
            Relative share of the flow.
        """
        start = self.tag(flow)
        self.now = start
        self.finish[flow] = start + tokens / weight


@dataclass
class Usage:
    """Recent work of an organisation, decayed.

    Parameters
    ----------
    weight : float
        Relative share.
    arrived, started : float
        Tokens of its requests that arrived, and of those that started.
    """

    weight: float = 1.0
    arrived: float = 0.0
    started: float = 0.0

    @property
    def demand(self) -> float:
        """Tokens that arrived, by weight."""
        return self.arrived / self.weight


@dataclass
class ShareMeter:
    """Finds the organisations that burst beyond their share.

    A more urgent route comes before a less urgent one. So the urgent requests
    of one organisation that sends eight times its usual rate would displace
    the less urgent ones of all others. Requests of an organisation that asks
    for more than its fair share, and for much more than others do, therefore
    come after those of the others in all routes.

    Examples
    --------
    >>> meter = ShareMeter()
    >>> for name, tokens in (('a', 100), ('b', 110), ('c', 900)):
    ...     meter.record_arrival(name, 1.0, tokens, 0.0)
    ...     meter.record_start(name, min(tokens, 300), 0.0)
    >>> sorted(meter.bursting(0.0))
    ['c']
    """

    usages: dict[str, Usage] = field(default_factory=dict)
    updated_s: float = 0.0

    def record_arrival(
        self, name: str, weight: float, tokens: float, now_s: float
    ) -> None:
        """Record a request, whether or not it starts."""
        self.advance(now_s)
        usage = self.usages.setdefault(name, Usage())
        usage.weight = weight
        usage.arrived += tokens

    def record_start(self, name: str, tokens: float, now_s: float) -> None:
        """Record a request that starts."""
        self.advance(now_s)
        self.usages.setdefault(name, Usage()).started += tokens

    def advance(self, now_s: float) -> None:
        """Let older work count less."""
        past_s = now_s - self.updated_s
        if past_s < METER_STEP_S:
            return
        self.updated_s = now_s
        decay = exp(-past_s / USAGE_MEMORY_S)
        for name, usage in tuple(self.usages.items()):
            usage.arrived *= decay
            usage.started *= decay
            if usage.arrived + usage.started < 1:
                self.usages.pop(name)

    def bursting(self, now_s: float) -> frozenset[str]:
        """Return the organisations that ask for much more than their share."""
        self.advance(now_s)
        if len(self.usages) < 2:
            return frozenset()
        level = max(
            FAIR_FACTOR * self.fair_level(),
            BURST_FACTOR * self.median_demand(),
        )
        return frozenset(
            name for name, usage in self.usages.items() if usage.demand > level
        )

    def fair_level(self) -> float:
        """Return the tokens by weight that each organisation may start.

        Those that ask for less leave the rest to the others (max-min).
        """
        usages = sorted(self.usages.values(), key=lambda usage: usage.demand)
        capacity = sum(usage.started for usage in usages)
        weight = sum(usage.weight for usage in usages)
        for usage in usages:
            if usage.demand * weight >= capacity:
                return capacity / weight
            capacity -= usage.arrived
            weight -= usage.weight
        return inf

    def median_demand(self) -> float:
        """Return the tokens by weight that half of the others exceed."""
        return median_low([usage.demand for usage in self.usages.values()])
