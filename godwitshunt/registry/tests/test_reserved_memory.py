"""Memory of engines as a picker counts it, when messages are lost or late.

If memory is counted twice, engines stay idle; if it is released too early,
they preempt running requests.
"""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitshunt.peer import decode, encode
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.ledger import (
    RESERVATION_TTL_S,
    LoadLedger,
    Report,
    ReportedLoad,
)
from godwitshunt.registry.records import Load, MemoryClaim
from godwitshunt.registry.wire import (
    load_from_wire,
    report_from_wire,
    report_to_wire,
)

CHAT = MemoryClaim(4_000, 7, 13_300)
OTHER = MemoryClaim(4_100, 8, 13_500)
SHORT = MemoryClaim(420)
CLAIMS = (CHAT, OTHER, SHORT)
INSTANCES = ('i-1', 'i-2')
ENTRIES = ('e-1', 'e-2')


def report(number, requests, session='s', last_reservation=0):
    """Return a report of requests, given as claims by incarnation."""
    loads = {}
    for instance, claims in requests.items():
        own_tokens = sum(claim.own_tokens for claim in claims)
        shared = {
            claim.shared_key: claim.shared_tokens
            for claim in claims
            if claim.shared_key is not None
        }
        load = Load(len(claims), 0, own_tokens)
        loads[instance] = ReportedLoad(load, shared=shared)
    return Report(session, number, loads, last_reservation)


def needed(claims) -> int:
    """Return the memory that requests at one engine need together."""
    shared = {claim.shared_key: claim.shared_tokens for claim in claims}
    return sum(shared.values()) + sum(claim.own_tokens for claim in claims)


def reserved(ledger, instance='i-1') -> int:
    """Return the memory that is reserved at an engine."""
    return ledger.total(instance).reserved_tokens


def test_shared_prefix_counts_once_for_all_entries():
    """Ten requests of several VMs use the same 13,300 cached tokens."""
    ledger = LoadLedger()
    five_chats = {'i-1': [CHAT for _ in range(5)]}
    for number in range(5):
        ledger.reserve(f'e-{number}', 'i-1', 0, 1.0, CHAT)
        ledger.apply_report('e-9', report(number + 1, five_chats))
    assert reserved(ledger) == 13_300 + 10 * 4_000
    assert ledger.sharing == {7: {'i-1'}}


def test_prefix_is_released_with_its_last_user():
    """The first user ends; the others still use the cached tokens."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(1, {'i-1': [CHAT]}))
    ledger.apply_report('e-2', report(1, {'i-1': [CHAT]}))
    ledger.apply_report('e-1', report(2, {}))
    assert reserved(ledger) == needed([CHAT])
    ledger.apply_report('e-2', report(2, {}))
    assert not ledger.totals
    assert not ledger.shared
    assert not ledger.sharing


def test_restarted_engine_has_all_its_memory():
    """Its old requests are those of an incarnation that ended."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1~5', 0, 1.0, CHAT)
    assert not reserved(ledger, 'i-1~6')


def test_memory_of_a_lost_entry_is_released():
    """No report of it will release the memory."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(1, {'i-1': [CHAT, SHORT]}))
    ledger.reserve('e-1', 'i-1', 0, 1.0, OTHER)
    ledger.remove_entry('e-1')
    assert not ledger.totals
    assert not ledger.sharing


def test_unused_reservation_returns_its_memory():
    """The entry VM gave up before the picker's answer came."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, 1.0, CHAT)
    ledger.tick(1.0 + RESERVATION_TTL_S / 2)
    assert reserved(ledger) == needed([CHAT])
    ledger.tick(1.1 + RESERVATION_TTL_S)
    assert not ledger.totals


def test_prefix_of_different_stated_lengths_is_released_exactly():
    """A caller states another length for the same key."""
    ledger = LoadLedger()
    ledger.reserve('e-1', 'i-1', 0, 1.0, MemoryClaim(10, 7, 13_300))
    ledger.apply_report('e-2', report(1, {'i-1': [MemoryClaim(10, 7, 20_000)]}))
    ledger.remove_entry('e-1')
    ledger.remove_entry('e-2')
    assert not ledger.totals


def test_entry_is_told_the_memory_of_others_only():
    """It adds its own requests; a prefix of its own must not count twice."""
    ledger = LoadLedger()
    ledger.apply_report('e-1', report(1, {'i-1': [CHAT, OTHER]}))
    ledger.apply_report('e-2', report(1, {'i-1': [CHAT]}))
    others = dict(ledger.totals_without('e-1'))
    assert others['i-1'] == Load(1, 0, needed([CHAT]))


def test_report_survives_the_wire():
    """A picker on another VM must count the same memory."""
    sent = report(3, {'i-1': [CHAT, OTHER, SHORT]})
    frame = encode(report_to_wire(sent, 'p', 5.0))
    read = report_from_wire(decode(ttypes.LoadReport, frame), 'p', 5.0)
    assert read == sent


def test_load_of_a_previous_build_reserves_nothing():
    """Its reports lack the fields; they must not be refused."""
    frame = encode(ttypes.UpstreamLoad('i-1', 2, 300))
    read = load_from_wire(decode(ttypes.UpstreamLoad, frame))
    assert read == Load(2, 300, 0)
    sent = ttypes.LoadReport(number=1, session='s')
    sent.loads = [ttypes.UpstreamLoad('i-1', 2, 300)]
    parsed = report_from_wire(sent, 'p', 5.0)
    assert not parsed.loads['i-1'].shared


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('reserve', 'lose', 'end', 'report', 'drop', 'restart')
        ),
        st.sampled_from(ENTRIES),
        st.sampled_from(INSTANCES),
        st.sampled_from(CLAIMS),
    ),
    max_size=40,
)


class LossyEntries:
    """Entry VMs whose messages to a ledger may be lost."""

    def __init__(self) -> None:
        self.ledger = LoadLedger()
        self.running = {entry: [] for entry in ENTRIES}
        self.sessions = Counter()
        self.numbers = Counter()
        self.last_reservations = Counter()

    def send_report(self, entry, *, arrives=True):
        """Let an entry VM report; the report may be lost."""
        self.numbers[entry] += 1
        requests = {}
        for instance, claim in self.running[entry]:
            requests.setdefault(instance, []).append(claim)
        sent = report(
            self.numbers[entry],
            requests,
            str(self.sessions[entry]),
            self.last_reservations[entry],
        )
        if arrives:
            self.ledger.apply_report(entry, sent)

    def step(self, action, entry, instance, claim):
        """Take one step."""
        match action:
            case 'reserve' | 'lose':
                self.send_report(entry)
                number = self.ledger.reserve(entry, instance, 0, 0.0, claim)
                if action == 'reserve':
                    self.last_reservations[entry] = number
                    self.running[entry].append((instance, claim))
            case 'end' if self.running[entry]:
                self.running[entry].pop(0)
            case 'report' | 'drop':
                self.send_report(entry, arrives=action == 'report')
            case 'restart':
                self.running[entry].clear()
                self.sessions[entry] += 1
                self.last_reservations[entry] = 0
                self.numbers[entry] = 0

    def needed(self, instance) -> int:
        """Return the memory that the running requests need."""
        return needed(
            [
                claim
                for running in self.running.values()
                for known, claim in running
                if known == instance
            ]
        )


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_reserved_memory_is_never_below_what_requests_need(steps):
    """Replies and reports are lost, and entry VMs restart.

    After all entry VMs have reported, the sums are exact.
    """
    entries = LossyEntries()
    for action, entry, instance, claim in steps:
        entries.step(action, entry, instance, claim)
        for known in INSTANCES:
            assert reserved(entries.ledger, known) >= entries.needed(known)
    for reporting in ENTRIES:
        entries.send_report(reporting)
    entries.ledger.tick(RESERVATION_TTL_S + 0.1)
    for known in INSTANCES:
        assert reserved(entries.ledger, known) == entries.needed(known)
