"""Which upstreams an entry VM uses while its paths to them are lost."""

from types import SimpleNamespace

import pytest

from godwitshunt.ingress.path_monitor import PathMonitor
from godwitshunt.ingress.reachability import Reachability
from godwitshunt.picking.tests.test_chooser import make_upstream
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import RegistryView
from godwitshunt.routing.upstream_paths import ProbeResult, Suspicion
from godwitshunt.telemetry import Metrics

NOW_S = 10.0
REFUSED, SILENT = [ProbeResult.refused], [ProbeResult.silent]


class Vm:
    """A VM with two upstreams in its region, and one beyond."""

    def __init__(self, connected=()):
        self.closed = 0
        self.reports = 0
        timer = SimpleNamespace(now=lambda: NOW_S)
        upstreams = {
            name: make_upstream(name, region)
            for name, region in (('a', 'n'), ('b', 'n'), ('c', 's'))
        }
        view = RegistryView(upstreams=upstreams)
        pool = SimpleNamespace(
            has_live=lambda place: place.origin in connected,
            close_idle=self.close_idle,
        )
        watch = SimpleNamespace(view=lambda: view, report_now=self.report_now)
        self.monitor = PathMonitor(None, timer, Metrics())
        self.reached = Reachability(
            'n', watch, Upstreams(), pool, self.monitor, timer
        )

    def close_idle(self):
        """Count the closing of idle connections."""
        self.closed += 1

    def report_now(self):
        """Count reports of a change."""
        self.reports += 1

    def lose(self, suspicion, results):
        """Lose all paths."""
        self.monitor.paths.record_check(suspicion, results, NOW_S)
        self.monitor.on_change()


@pytest.mark.parametrize(
    ('connected', 'results', 'unreached', 'closed'),
    [
        ((), REFUSED, {'a', 'b'}, 0),
        (('b',), REFUSED, {'a'}, 0),
        (('b',), SILENT, {'a', 'b'}, 1),
    ],
)
def test_open_connections_are_used_while_new_ones_are_refused(
    connected, results, unreached, closed
):
    """All requests left a VM whose upstreams had enough connections."""
    vm = Vm(connected)
    vm.lose(Suspicion.connection, results)
    assert vm.reached.unreached('llm') == unreached
    assert vm.reached.reaches_service('llm') is (unreached == {'a'})
    assert vm.closed == closed
    assert vm.reports == 1


def test_silent_upstreams_are_the_last_resort():
    """They may be silent by themselves, and nobody else may reach them."""
    vm = Vm()
    vm.lose(Suspicion.silence, [ProbeResult.accepted])
    assert vm.reached.unreached('llm') == {'a', 'b'}
    assert not vm.reached.unreached('llm', tries_silent=True)


def test_failed_connection_concerns_one_upstream():
    """The others of its service are reached still."""
    vm = Vm()
    vm.reached.upstreams.record_connect_failure('a', NOW_S)
    assert vm.reached.unreached('llm') == {'a'}
    assert vm.reached.reaches_service('llm')
    vm.reached.upstreams.record_connect_failure('b', NOW_S)
    assert not vm.reached.reaches_service('llm')
    assert vm.reached.reaches_service('app')
