"""Which held answers and requests end when the budget is full."""

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.exchange.buffer_budget import BufferBudget, Holding

LIMIT = 1000


class Connections:
    """Connections whose send buffers tests set."""

    def __init__(self) -> None:
        self.ended = []
        self.budget = BufferBudget(
            LIMIT, lambda holding, total: self.ended.append(holding.name)
        )
        self.buffered = {}

    def add(self, name: str, rank: int = 0) -> Holding:
        """Add a connection without anything held."""
        holding = Holding(lambda: self.buffered.update({name: 0}), rank, name)
        self.buffered[name] = 0
        holding.buffers[name] = lambda: self.buffered[name]
        return holding

    def put(self, holding: Holding, size: int, now_s: float) -> None:
        """Write bytes of which none are taken yet."""
        self.buffered[holding.name] += size
        self.budget.update(holding, now_s, size)

    def total(self) -> int:
        """Return what the send buffers hold."""
        return sum(self.buffered.values())


def test_nothing_ends_within_the_budget():
    """Slow callers cost nothing as long as there is memory."""
    connections = Connections()
    for number in range(10):
        connections.put(connections.add(f'c-{number}', number), 100, number)
    assert connections.budget.held_bytes == LIMIT
    assert not connections.ended


def test_least_urgent_ends_first():
    """A short urgent answer ends for a long one of a lower rank."""
    connections = Connections()
    urgent, later = connections.add('r-0', 0), connections.add('r-1', 1)
    latest = connections.add('r-2', 2)
    connections.put(urgent, 600, 0.0)
    connections.put(latest, 10, 0.0)
    connections.put(later, 300, 0.0)
    connections.put(urgent, 95, 5.0)
    assert connections.ended == ['r-2']
    connections.put(urgent, 100, 6.0)
    assert connections.ended == ['r-2', 'r-1']


def test_slowest_of_a_rank_ends_first():
    """A large answer that is read steadily ends for one that is not read."""
    connections = Connections()
    steady, stopped = connections.add('steady'), connections.add('stopped')
    connections.put(stopped, 100, 0.0)
    connections.put(steady, 700, 0.0)
    for now_s in range(10):
        connections.buffered['steady'] -= 100
        connections.put(steady, 100, float(now_s))
    connections.put(connections.add('new'), 201, 10.0)
    assert connections.ended == ['stopped']


def test_largest_of_equals_ends_first():
    """Several small answers end where one large one would do."""
    connections = Connections()
    for name, size in (('a', 200), ('b', 500), ('c', 200)):
        connections.put(connections.add(name), size, 0.0)
    connections.put(connections.add('d'), 101, 2.0)
    assert connections.ended == ['b']


def test_waiting_requests_end_last_of_their_rank():
    """A request that waits for its answer is no slow transfer.

    Its body is held, too, but its caller is not the cause.
    """
    connections = Connections()
    waiting, slow = connections.add('waiting'), connections.add('slow')
    waiting.body_bytes = 800
    connections.budget.update(waiting, 0.0)
    connections.put(slow, 100, 0.0)
    connections.put(slow, 150, 3.0)
    assert connections.ended == ['slow']


def test_stopped_upload_ends_before_an_answer_that_is_read():
    """The rank of a request that is still received is not known."""
    connections = Connections()
    upload = Holding(lambda: None, name='upload')
    upload.body_bytes = 50
    upload.is_receiving = True
    connections.budget.update(upload, 0.0, 50)
    answer = connections.add('answer', 0)
    connections.put(answer, 900, 0.0)
    connections.buffered['answer'] -= 800
    connections.put(answer, 860, 2.0)
    assert connections.ended == ['upload']


def test_bytes_that_were_sent_meanwhile_end_nothing():
    """Send buffers drain without a word; the count is then too high."""
    connections = Connections()
    drained, other = connections.add('drained'), connections.add('other')
    connections.put(drained, 900, 0.0)
    connections.buffered['drained'] = 0
    connections.put(other, 900, 2.0)
    assert not connections.ended
    assert connections.budget.held_bytes == 900


def test_ended_connection_holds_nothing_more():
    """Its task still runs for a moment, and counts."""
    connections = Connections()
    first = connections.add('first')
    first.body_bytes = LIMIT + 1
    connections.budget.update(first, 0.0)
    connections.budget.update(first, 0.1)
    assert connections.ended == ['first']
    assert not connections.budget.held_bytes


def test_new_request_is_received_while_the_budget_is_full():
    """Its rank is not known; an answer of a lower rank ends for it."""
    connections = Connections()
    connections.put(connections.add('slow', 1), LIMIT, 0.0)
    new = Holding(lambda: None, name='new')
    new.body_bytes = 50
    new.is_receiving = True
    connections.budget.update(new, 2.0, 50)
    assert connections.ended == ['slow']


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('put', 'take', 'close')),
        st.integers(0, 5),
        st.integers(1, 700),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_total_is_within_the_limit_after_each_step(steps):
    """Connections are written to, read from and closed in any order."""
    connections = Connections()
    holdings = {}
    for now_s, (action, number, size) in enumerate(steps):
        name = f'c-{number}'
        if name not in holdings or holdings[name].is_ended:
            holdings[name] = connections.add(name, number % 3)
        match action:
            case 'put':
                connections.put(holdings[name], size, float(now_s))
            case 'take':
                left = max(0, connections.buffered[name] - size)
                connections.buffered[name] = left
            case 'close':
                connections.buffered[name] = 0
                connections.budget.remove(holdings[name])
        assert connections.total() <= connections.budget.held_bytes <= LIMIT
    connections.budget.measure(1000.0)
    assert connections.budget.held_bytes == connections.total()
