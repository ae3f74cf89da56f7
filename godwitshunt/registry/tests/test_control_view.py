"""A control VM's view, which is kept until something changes.

A view that is kept too long would send requests to upstreams that have left,
or count requests of a control VM that no longer answers.
"""

from dataclasses import replace

from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.tests.region import engine
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import Load
from godwitshunt.registry.control_tables import LOADS_TTL_S
from godwitshunt.registry.ledger import Report, ReportedLoad
from godwitshunt.registry.service import VIEW_INTERVAL_S
from godwitshunt.registry.tests.deployment import Deployment

ONE = {'i-1': ReportedLoad(Load(2, 300))}


def test_the_view_is_the_same_but_its_loads_are_current():
    """A chooser applies only the loads that have changed since its last one."""
    control = Deployment().controls[1]
    control.announce(engine('i-1'))
    before = control.view()
    control.ledger.apply_report('e-1', Report('s', 1, ONE))
    assert control.view() is before
    assert control.view().loads.get('i-1') == Load(2, 300)


def test_a_change_is_seen_at_once():
    """No time passes between the changes and the calls."""
    control = Deployment().controls[1]
    control.announce(engine('i-1'))
    assert set(control.view().upstreams) == {'i-1'}
    control.announce(engine('i-2'))
    assert set(control.view().upstreams) == {'i-1', 'i-2'}
    control.withdraw('i-1')
    assert set(control.view().upstreams) == {'i-2'}
    control.mark_replaced('i-2')
    assert not control.view().upstreams


async def test_loads_of_another_control_vm_are_seen_at_once_and_expire():
    """A control VM that stops answering no longer counts for its region."""
    deployment = Deployment()
    control, other = deployment.controls.values()
    other.announce(engine('i-1', 'b'))
    await deployment.exchange()
    assert control.view().loads.get('i-1') is None
    other.ledger.apply_report('e-1', Report('s', 1, ONE))
    deployment.timer.advance(VIEW_INTERVAL_S / 2)
    await deployment.exchange(1)
    assert control.view().loads.get('i-1') == Load(2, 300)
    deployment.timer.advance(LOADS_TTL_S + VIEW_INTERVAL_S)
    assert control.view().loads.get('i-1') is None


def test_an_outcome_counts_among_the_upstreams_present_now():
    """The share of upstreams that may be ejected depends on their number."""
    control = Deployment().controls[1]
    recorder = AttemptRecorder(Upstreams(), control.view, control.mark_replaced)
    control.announce(engine('i-1'))
    assert recorder.present('llm') == ('i-1',)
    control.announce(engine('i-2'))
    control.announce(replace(engine('o-1'), service='other'))
    assert recorder.present('llm') == ('i-1', 'i-2')
