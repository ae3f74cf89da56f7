"""A link between two regions that is asked to carry more than it can.

Guards against a queue in the link that delays short requests and polls beyond
their objectives, against a budget that stays low without need, and against
limits where there is no queue.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from godwitshunt.grants.link_budget import Crossing, LinkBudget

BYTES_PER_S = 71.5e6 / 8
ONE_WAY_S = 0.055
POLL_S = 0.2
STEP_S = 0.005
# Longest and mean delay by the queue that leave a short request half of its
# objective after the network delays, while the link is limited.
LONGEST_QUEUE_S = 0.25
MEAN_QUEUE_S = 0.1
# A queue that is still draining after the link lost half of its capacity.
MEAN_QUEUE_AFTER_LOSS_S = 0.15
# Least share of the link that is used, beside other traffic of a tenth, and of
# the requests that cross where they should.
MIN_CARRIED = 0.6
MIN_CROSSED = 0.95
SHORT = Crossing.from_route(2_000, 0, 0.823)
LONG = Crossing.from_route(70_000, 1, 2.063)


@dataclass
class Link:
    """A link with a queue, and what is asked of it.

    Parameters
    ----------
    other : float
        Bytes per second of other traffic.
    jitter_s : float
        Longest delay of a poll by busy processes.
    """

    capacity: float = BYTES_PER_S
    other: float = 0.1 * BYTES_PER_S
    jitter_s: float = 0.0
    queue: float = 0.0
    now_s: float = 0.0
    budget: LinkBudget = field(default_factory=LinkBudget)
    random: Random = field(default_factory=lambda: Random(7))
    sent: dict = field(default_factory=lambda: {SHORT: 0, LONG: 0})
    wanted: dict = field(default_factory=lambda: {SHORT: 0, LONG: 0})
    queues: list = field(default_factory=list)
    polled_s: float = field(default=0)

    def run(self, seconds: float, load: float) -> None:
        """Ask the link to carry a load, in units of its first capacity.

        A tenth of the bytes are those of short requests.
        """
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            self.ask(SHORT, 0.1 * load)
            self.ask(LONG, 0.9 * load)
            self.queue += self.other * STEP_S
            self.queue = max(0, self.queue - self.capacity * STEP_S)
            self.queues.append(self.queue / self.capacity)
            if self.now_s - self.polled_s >= POLL_S:
                self.polled_s = self.now_s
                trip_s = 2 * ONE_WAY_S + self.queue / self.capacity
                trip_s += self.random.uniform(0, self.jitter_s)
                self.budget.measure(trip_s, self.now_s)

    def ask(self, crossing: Crossing, load: float) -> None:
        """Ask to send requests of a kind."""
        number = load * BYTES_PER_S * STEP_S / crossing.size
        number = int(number + self.random.random())
        for _ in range(number):
            self.wanted[crossing] += 1
            self.budget.want(crossing, self.now_s)
            if self.budget.admits(crossing, self.now_s):
                self.budget.spend(crossing, self.now_s)
                self.sent[crossing] += 1
                self.queue += crossing.size

    def reset(self) -> None:
        """Count from now on."""
        self.sent = {SHORT: 0, LONG: 0}
        self.wanted = {SHORT: 0, LONG: 0}
        self.queues.clear()

    def share(self, crossing: Crossing) -> float:
        """Return the share of a kind's requests that was sent."""
        return self.sent[crossing] / max(1, self.wanted[crossing])

    @property
    def carried(self) -> float:
        """Bytes per second that requests were sent with, by capacity."""
        total = sum(kind.size * sent for kind, sent in self.sent.items())
        return total / (len(self.queues) * STEP_S * self.capacity)


@pytest.mark.parametrize('load', [1.3, 2.0, 4.0])
def test_overload_leaves_no_long_queue(load: float) -> None:
    """Short requests cross and the link is used, soon after the start."""
    link = Link()
    link.run(3.0, 0.3)
    link.run(4.0, load)
    link.reset()
    link.run(10.0, load)
    mean_s = sum(link.queues) / len(link.queues)
    assert mean_s < MEAN_QUEUE_S
    assert max(link.queues) < LONGEST_QUEUE_S
    assert link.carried > MIN_CARRIED
    assert link.share(SHORT) > MIN_CROSSED


def test_capacity_that_halves_is_found_again() -> None:
    """The link loses half of its capacity and regains it later."""
    link = Link()
    link.run(8.0, 2.0)
    link.capacity /= 2
    link.run(4.0, 2.0)
    link.reset()
    link.run(5.0, 2.0)
    assert sum(link.queues) / len(link.queues) < MEAN_QUEUE_AFTER_LOSS_S
    link.capacity *= 2
    link.run(10.0, 2.0)
    link.reset()
    link.run(5.0, 2.0)
    assert link.carried > MIN_CARRIED


def test_no_limit_without_a_queue() -> None:
    """Busy processes delay single polls by more than a queue would."""
    link = Link(jitter_s=0.06)
    link.run(5.0, 0.5)
    link.reset()
    link.run(20.0, 0.5)
    assert link.share(LONG) > MIN_CROSSED


def test_one_request_always_crosses_an_unused_link() -> None:
    """The largest body exceeds the budget of a window."""
    budget = LinkBudget(rate=1000.0)
    huge = Crossing.from_route(500_000, 1, 2.0)
    assert budget.admits(huge, 5.0)
    budget.spend(huge, 5.0)
    assert not budget.admits(huge, 5.1)
    assert budget.admits(huge, 6.0)


def test_bodies_of_many_sizes_share_the_budget() -> None:
    """No two requests have the same value for each byte."""
    budget = LinkBudget(rate=1e6)
    random = Random(7)
    total = 0
    for number in range(6000):
        now_s = number / 1000
        crossing = Crossing(random.randint(500, 8000), 1.0)
        budget.want(crossing, now_s)
        if budget.admits(crossing, now_s):
            budget.spend(crossing, now_s)
            total += crossing.size
    carried = total / 6.0 / budget.rate
    assert carried == pytest.approx(1.0, abs=0.15)
