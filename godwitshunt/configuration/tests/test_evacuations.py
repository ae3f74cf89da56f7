"""Evacuations of failure domains, and copies of orders that come late."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from godwitshunt.configuration.commands import (
    Applied,
    ChangeEvacuation,
    EvacuationSuperseded,
)
from godwitshunt.configuration.document import EVACUATIONS, pack, unpack
from godwitshunt.configuration.evacuations import change_evacuation
from godwitshunt.configuration.state import (
    MAX_EVACUATIONS_CHANGED,
    ControlState,
)
from godwitshunt.configuration.wire import (
    decode_command,
    encode_command,
    pack_state,
    unpack_state,
)

ZONE = 'zone-a'


def order(begins, based_on, name=ZONE):
    """Return the command that begins or ends an evacuation."""
    return ChangeEvacuation(name, begins, based_on)


def apply_all(*commands, state=None):
    """Return the state after some commands, and the last one's outcome."""
    state = state or ControlState()
    outcome = None
    for command in commands:
        state, outcome = change_evacuation(state, command)
    return state, outcome


def is_evacuated(state, name=ZONE):
    """Tell whether a domain is evacuated."""
    return name in state.document.section(EVACUATIONS)


def test_a_late_withdrawal_ends_no_newer_evacuation():
    """The copy of a withdrawal was applied after it was evacuated anew."""
    state, _ = apply_all(order(True, 0))
    late = order(False, state.revision)
    state, _ = apply_all(late, order(True, 2), state=state)
    kept, outcome = apply_all(late, state=state)
    assert outcome == EvacuationSuperseded(ZONE, state.revision)
    assert kept == state
    assert is_evacuated(kept)


def test_a_late_evacuation_begins_none():
    """The copy of an order evacuated for good what was taken back since."""
    late = order(True, 0)
    state, _ = apply_all(late, order(False, 1))
    kept, outcome = apply_all(late, state=state)
    assert outcome == EvacuationSuperseded(ZONE, state.revision)
    assert not is_evacuated(kept)


def test_an_accepted_order_is_acknowledged_again():
    """An order whose answer was lost must not be refused when sent again."""
    first = order(True, 0)
    state, _ = apply_all(first)
    kept, outcome = apply_all(first, state=state)
    assert outcome == Applied(state.revision)
    assert kept == state


def test_changes_of_other_domains_supersede_nothing():
    """Evacuating one domain made an order for another one wait."""
    state, outcome = apply_all(
        order(True, 0, 'zone-b'), order(False, 1, 'zone-b'), order(True, 0)
    )
    assert outcome == Applied(3)
    assert is_evacuated(state)


def test_entries_of_earlier_versions_are_applied():
    """A log from before the condition has to give the same state."""
    _, payload = encode_command(order(True, None))
    _, command = decode_command(payload)
    state, _ = apply_all(order(True, 0), order(False, 1), command)
    assert is_evacuated(state)


def test_changes_are_remembered_in_bounds():
    """A domain that is forgotten counts as changed with the last forgotten."""
    names = [f'zone-{place}' for place in range(MAX_EVACUATIONS_CHANGED + 1)]
    state = ControlState()
    for name in names:
        state, _ = apply_all(order(True, state.revision, name), state=state)
    assert len(state.evacuations_changed) == MAX_EVACUATIONS_CHANGED
    _, late = apply_all(order(False, 0, names[0]), state=state)
    _, fresh = apply_all(order(False, 1, names[0]), state=state)
    assert isinstance(late, EvacuationSuperseded)
    assert isinstance(fresh, Applied)


def test_a_snapshot_keeps_when_domains_changed():
    """A replica that began with a snapshot would apply a late order."""
    late = order(True, 0)
    state, _ = apply_all(late, order(False, 1))
    read = unpack_state(pack_state(state)).ok_value
    assert read.evacuations_changed == {ZONE: 2}
    _, outcome = apply_all(late, state=read)
    assert outcome == EvacuationSuperseded(ZONE, 2)


def test_snapshots_of_earlier_versions_are_read():
    """A replica must start from the folder of the version before."""
    state, _ = apply_all(order(True, 0))
    fields = unpack(pack_state(state)).ok_value
    fields.pop('evacuations_changed')
    fields.pop('evacuations_forgotten')
    read = unpack_state(pack(fields)).ok_value
    assert is_evacuated(read)
    assert read.evacuations_changed == {}


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 6), st.booleans()),
        max_size=12,
    ),
)
def test_no_copy_outlives_a_newer_order(steps):
    """Copies of orders are committed at any time after they were read.

    Each order is read while its operator waits, committed once then, and its
    copies come back between any later ones: the newest order stands.
    """
    state = ControlState()
    copies = []
    for begins, place, is_copied in steps:
        wanted = order(begins, state.revision)
        state, outcome = change_evacuation(state, wanted)
        assert isinstance(outcome, Applied)
        copies.append(wanted)
        if is_copied:
            for late in itertools.islice(copies, place):
                state, _ = change_evacuation(state, late)
        assert is_evacuated(state) == begins
