"""Which parts of prompts are confirmed to crash upstreams."""

import pytest

from godwitshunt.quarantine import (
    Fingerprint,
    Loss,
    LostRequest,
    Quarantine,
    QuarantineStatus,
    SuspectPart,
    SuspectTable,
)
from godwitshunt.quarantine.records import PROOF_S
from godwitshunt.telemetry import Metrics

LENGTH_S = 900.0
VM, OTHER_VM = 'north/a', 'north/b'


def part_of(key, organisation=''):
    """Return the fingerprint of a part."""
    return Fingerprint.from_prompt_part('llm', organisation, key)


FIRST, BAD, LAST, SECOND_BAD = map(part_of, range(4))
POSITIONS = {FIRST: 0, BAD: 1, SECOND_BAD: 1, LAST: 2}


def lost_parts(parts, crash, at_s, observer='', exposure_s=0.1, **fields):
    """Return the losses of a request whose prompt has some parts."""
    loss = Loss(f'i-{crash}', at_s, exposure_s, observer=observer)
    attributes = {'organisation': '', 'body_bytes': 0, **fields}
    return [
        LostRequest(
            part,
            loss=loss,
            part=SuspectPart(str(part), POSITIONS.get(part, 2)),
            **attributes,
        )
        for part in parts
    ]


def crash_under(table, *prompts, times=1):
    """Record a crash each second, under one prompt after the other."""
    for number, parts in enumerate(prompts * times):
        table.record_losses(lost_parts(parts, number, float(number)))
    return set(table.confirmed())


def test_third_crash_confirms_the_part_that_was_not_answered():
    """Bodies and last parts are new each time; the others are answered."""
    table = SuspectTable()
    confirmed = []
    for number in range(3):
        table.record_losses(lost_parts((FIRST, BAD, LAST), number, number))
        table.clear(FIRST, 'a', number + 0.5)
        table.clear(LAST, 'b', number + 0.5)
        confirmed.append(set(table.confirmed()))
    assert confirmed == [set(), set(), {BAD}]


@pytest.mark.parametrize('age_s', [0.5, PROOF_S - 1])
def test_part_answered_shortly_before_is_not_confirmed(age_s):
    """Sound requests are rare, and sit where the bad ones crash."""
    table = SuspectTable()
    crash_under(table, (FIRST, BAD, LAST))
    for part in (FIRST, LAST):
        table.clear(part, 'a', -age_s)
    assert crash_under(table, (FIRST, BAD, LAST), times=3) == {BAD}


def test_part_that_turns_bad_is_confirmed_by_the_fifth_crash():
    """A new version of the weights may crash under a part that was sound."""
    table = SuspectTable()
    crash_under(table, (BAD,))
    table.clear(BAD, 'a', -1.0)
    assert not crash_under(table, (BAD,), times=4)
    assert crash_under(table, (BAD,), times=5) == {BAD}


def test_repeated_body_is_confirmed_before_its_parts():
    """All requests with its parts would be turned away with it."""
    table = SuspectTable()
    content = Fingerprint(bytes(16))
    for number in range(3):
        loss = Loss(f'i-{number}', float(number), 0.1)
        table.record_loss(LostRequest(content, '', 5, loss))
    assert crash_under(table, (FIRST, LAST), times=3) == {content}


def test_later_part_is_confirmed_before_an_earlier_one():
    """Blaming the first part turns away all requests of a route."""
    assert crash_under(SuspectTable(), (FIRST, LAST), times=3) == {LAST}


def test_wrongly_confirmed_part_is_released_where_crashes_continue():
    """Requests without it crash upstreams as well: an earlier part does."""
    same = (FIRST, LAST)
    prompts = (same, same, same, (FIRST, BAD))
    table = SuspectTable()
    assert crash_under(table, *prompts) == {LAST}
    assert crash_under(table, *prompts, (FIRST, SECOND_BAD)) == {FIRST}


def test_two_bad_parts_do_not_confirm_what_they_share():
    """The first part of both is lost more often than either."""
    table = SuspectTable()
    for number in range(6):
        parts = (FIRST, (BAD, SECOND_BAD)[number % 2])
        table.record_losses(lost_parts(parts, number, float(number)))
        assert FIRST not in table.confirmed()
    assert set(table.confirmed()) == {BAD, SECOND_BAD}


def test_bad_first_part_is_confirmed_whatever_follows():
    """The parts behind it are new in each request."""
    prompts = [(FIRST, part_of(100 + number)) for number in range(3)]
    assert crash_under(SuspectTable(), *prompts) == {FIRST}


def test_parts_of_a_failed_rack_are_not_confirmed():
    """Many upstreams crash at one time, with prompts that share parts."""
    table = SuspectTable()
    for number in range(6):
        table.record_losses(lost_parts((FIRST, LAST), number, number / 50))
    assert not table.confirmed()


def test_part_of_another_organisation_is_not_concerned():
    """One caller could have another's requests turned away."""
    ours, theirs = part_of(1, 'o-1'), part_of(1, 'o-2')
    table = SuspectTable()
    for number in range(3):
        table.record_losses(
            lost_parts((ours,), number, number, organisation='o-1')
        )
    assert set(table.confirmed()) == {ours}
    assert theirs not in table.records


def test_part_of_another_service_is_not_concerned():
    """Engines of another model may answer what crashes these."""
    assert Fingerprint.from_prompt_part('llm', '', 1) != (
        Fingerprint.from_prompt_part('other', '', 1)
    )


def test_many_lost_parts_do_not_evict_the_bad_one():
    """Racks fail meanwhile, with the parts of all that their engines run."""
    table = SuspectTable(max_records=100)
    for crash in range(3):
        table.record_losses(lost_parts((BAD,), crash, float(crash)))
        others = [part_of(1000 * crash + number) for number in range(9, 249)]
        table.record_losses(
            lost_parts(others, f'j-{crash}', crash + 0.5, exposure_s=0.4)
        )
    assert BAD in table.confirmed()
    assert len(table.records) <= 100


class Fleet:
    """Quarantines of two VMs that receive each other's observations."""

    def __init__(self):
        self.now_s = 100.0
        self.vms = {name: self.start(name) for name in (VM, OTHER_VM)}

    def start(self, name):
        """Return the quarantine of a VM that has just started."""
        return Quarantine(LENGTH_S, self.now, Metrics(), name=name)

    def now(self):
        """Return monotonic seconds."""
        return self.now_s

    def crash(self, crash, parts, observer=VM):
        """Crash an upstream at one VM, a second later."""
        self.now_s += 1.0
        self.vms[observer].record_losses(
            lost_parts(parts, crash, self.now_s, observer)
        )

    def exchange(self):
        """Let both VMs know all."""
        for _ in range(2):
            for sender in self.vms.values():
                for receiver in self.vms.values():
                    receiver.join(sender.own.since(0))

    def statuses(self, part, companions=None):
        """Return the status of a part at each VM."""
        return [
            vm.assessment(part, companions=companions).status
            for vm in self.vms.values()
        ]


@pytest.fixture
def fleet():
    """Return two VMs that have lost nothing."""
    return Fleet()


def test_answers_at_another_vm_prove_a_part(fleet):
    """The VM whose upstreams crash may have no answer of its own."""
    fleet.vms[OTHER_VM].record_answer((FIRST, LAST))
    for crash in range(3):
        fleet.crash(crash, (FIRST, BAD, LAST))
    fleet.exchange()
    for vm in fleet.vms.values():
        assert set(vm.table.confirmed()) == {BAD}


def test_answer_while_others_are_lost_clears_a_part(fleet):
    """A wrong verdict must not outlast an answer that was on its way."""
    for crash in range(3):
        fleet.crash(crash, (LAST,))
    assert fleet.statuses(LAST)[0] is QuarantineStatus.quarantined
    fleet.vms[VM].record_answer((LAST,))
    fleet.exchange()
    assert set(fleet.statuses(LAST)) == {QuarantineStatus.clear}


def test_one_vm_at_a_time_tries_a_part_after_its_quarantine(fleet):
    """Each VM would crash an upstream, also where VMs cannot talk."""
    for crash, observer in enumerate((VM, OTHER_VM, VM)):
        fleet.crash(crash, (BAD,), observer)
    fleet.exchange()
    begin_s = fleet.now_s + LENGTH_S
    turns = []
    for elapsed_s in range(300):
        fleet.now_s = begin_s + elapsed_s
        trying = [
            status is QuarantineStatus.on_probation
            for status in fleet.statuses(BAD, (BAD,))
        ]
        assert sum(trying) <= 1
        turns.append(tuple(trying))
    assert {(True, False), (False, True), (False, False)} == set(turns)


@pytest.mark.parametrize('others', [1, 3])
def test_vm_that_observed_nothing_tries_as_well(fleet, others):
    """A request that many send alike was refused where one VM had its turns.

    Of several VMs that observe a crash one is recorded.
    """
    content = Fingerprint(bytes(16))
    unused = [f'south/{number}' for number in range(others - 1)]
    known_vms = [*fleet.vms, *unused].copy
    for vm in fleet.vms.values():
        vm.known_vms = known_vms
    for crash in range(3):
        fleet.crash(crash, (BAD,))
        loss = Loss(f'i-{crash}', fleet.now_s, 0.3, observer=VM)
        fleet.vms[VM].record_loss(LostRequest(content, '', 5, loss))
    fleet.exchange()
    turns = set()
    for _ in range(100):
        fleet.now_s += 0.1
        trying = [
            status is QuarantineStatus.on_probation
            for status in fleet.statuses(content, ())
        ]
        assert sum(trying) <= 1
        turns.add(tuple(trying))
    assert {(True, False), (False, True)} <= turns


def test_turn_allows_one_try(fleet):
    """A try that ends without a verdict is not repeated at once."""
    for crash in range(3):
        fleet.crash(crash, (BAD,))
    fleet.now_s += LENGTH_S + 29
    vm = fleet.vms[VM]
    assert fleet.statuses(BAD, (BAD,))[0] is QuarantineStatus.on_probation
    vm.begin_probe(BAD)
    vm.end_probe(BAD)
    assert fleet.statuses(BAD, (BAD,))[0] is QuarantineStatus.quarantined
    fleet.now_s += 29
    assert fleet.statuses(BAD, (BAD,))[0] is QuarantineStatus.on_probation


def test_wrong_verdict_is_tried_without_the_other_suspects(fleet):
    """Crashes stop with a wrong verdict too, and no answer takes it back."""
    for crash in range(3):
        fleet.crash(crash, (FIRST, BAD, LAST))
    vm = fleet.vms[VM]
    assert set(vm.table.confirmed()) == {LAST}
    fleet.now_s += 0.9
    bad, sound = (FIRST, BAD, LAST), (FIRST, LAST)
    assert vm.assessment(LAST, companions=bad).status is (
        QuarantineStatus.quarantined
    )
    assert vm.assessment(LAST, companions=sound).status is (
        QuarantineStatus.on_probation
    )
    vm.begin_probe(LAST)
    vm.record_answer(sound)
    vm.end_probe(LAST)
    assert set(vm.table.confirmed()) == {BAD}


def test_wrongly_confirmed_content_is_tried_early(fleet):
    """A request that many send alike is lost with a bad part each time."""
    content = Fingerprint(bytes(16))
    vm = fleet.vms[VM]
    for crash in range(3):
        fleet.crash(crash, (BAD,))
        loss = Loss(f'i-{crash}', fleet.now_s, 0.3, observer=VM)
        vm.record_loss(LostRequest(content, '', 5, loss))
    assert set(vm.table.confirmed()) == {content}
    fleet.now_s += 0.9
    assert vm.assessment(content, companions=(BAD,)).status is (
        QuarantineStatus.quarantined
    )
    assert vm.assessment(content, companions=()).status is (
        QuarantineStatus.on_probation
    )
    vm.clear(content)
    assert set(vm.table.confirmed()) == {BAD}


def test_sure_verdict_is_not_tried_early(fleet):
    """A try of a bad part crashes one more upstream."""
    fleet.vms[VM].record_answer((FIRST, LAST))
    for crash in range(3):
        fleet.crash(crash, (FIRST, BAD, LAST))
    for _ in range(100):
        fleet.now_s += 0.1
        assert fleet.statuses(BAD, (FIRST, BAD)) == [
            QuarantineStatus.quarantined,
            QuarantineStatus.clear,
        ]
