"""Where requests of routes go, by what entry VMs know."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.manifest import ColdStart
from godwitshunt.picking.choices import (
    ChoiceRequest,
    HandOver,
    NoPlace,
    SendHere,
)
from godwitshunt.picking.chooser import (
    MIN_RETRY_S,
    NO_UPSTREAM_RETRY_S,
    Chooser,
)
from godwitshunt.picking.neighbours import Neighbours
from godwitshunt.picking.upstreams import Upstreams
from godwitshunt.registry import EntryRecord, Load, RegistryView, UpstreamSeen
from godwitshunt.registry.records import UpstreamAnnounced
from godwitshunt.routing.selection import Demand
from godwitshunt.settings import Address

NOW_S = 50.0
LONG = Demand(17020, 13300, 0x5C1E)
SHORT = Demand(383, 92, 0x91BD, urgent=True)
ADDRESS = Address(host='10.0.0.1', port=80)


def make_upstream(name: str, region: str) -> UpstreamSeen:
    """Return an engine that is heard of and well."""
    told = UpstreamAnnounced(name, 'llm', ADDRESS, 'a', 48, False, 0, 1)
    return UpstreamSeen(told, region, 0.0, None, silent=False)


def view(loads: dict[str, Load] | None = None) -> RegistryView:
    """Return four engines here, two there, and one entry VM there."""
    upstream = [make_upstream(f'k-{number}', 'kochi') for number in range(4)]
    upstream += [make_upstream(f't-{number}', 'tvm') for number in range(2)]
    door = EntryRecord('t-e', 's', 'tvm', 't', ADDRESS, ADDRESS, True)
    return RegistryView(
        upstreams={one.announcement.incarnation: one for one in upstream},
        entries={door.name: door},
        loads=loads or {},
        entry_points={'tvm': (door,)},
    )


def ask(demand: Demand, **changes) -> ChoiceRequest:
    """Return a question for a route without homes."""
    route = SimpleNamespace(homes=(), objective_s=0.8, rank=0)
    service = SimpleNamespace(name='llm', engine=True, cold_start=None)
    return ChoiceRequest(route, service, demand, 5.0, NOW_S, **changes)


def choose(asked: ChoiceRequest, known: RegistryView):
    """Return what a VM of the first region chooses."""
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    revision = SimpleNamespace(evacuated=frozenset())
    return chooser.choose(asked, known, revision)


@pytest.mark.parametrize('holder', ['k-0', 'k-1', 'k-2', 'k-3'])
def test_a_prompt_goes_to_the_engine_that_keeps_it(holder):
    """Another VM's request was read there; this VM was told so."""
    asked = ask(LONG, holders=frozenset((holder,)))
    chosen = choose(asked, view())
    assert isinstance(chosen, SendHere)
    assert chosen.upstream.announcement.incarnation == holder
    assert chosen.is_cached


def test_a_prompt_goes_to_the_region_that_keeps_it():
    """The way there takes 0.11 s, reading it again 0.27 s."""
    chosen = choose(ask(LONG, holders=frozenset(('t-0',))), view())
    assert isinstance(chosen, HandOver)
    assert chosen.entry.name == 't-e'


def test_only_what_is_unread_waits_at_an_engine():
    """Requests whose shared parts are kept are read in a quarter of the time.

    Counted with all their tokens, the first of them made its engine look busy
    for a third of a second, and the next one was read again elsewhere.
    """
    kept = choose(ask(LONG, holders=frozenset(('k-0',))), view())
    assert kept.unread_tokens < LONG.prompt_tokens - 12000


def test_a_question_that_would_come_late_is_refused_at_once():
    """Every engine has a second of prompts to read before it.

    Taken, it would come late and make those behind it late as well; refused
    at once, its caller may come back when there is room.
    """
    waiting = {
        name: Load(in_flight=40, pending_tokens=200_000)
        for name in view().upstreams
    }
    chosen = choose(ask(SHORT), view(waiting))
    assert isinstance(chosen, NoPlace)
    assert chosen.overloaded
    assert chosen.retry_after_s > 0


def test_the_longest_prompts_are_read_by_an_idle_engine():
    """Reading 53,000 tokens takes 1.5 s, longer than the objective.

    Measured against the objective alone, callers with the longest prompts
    would never be served.
    """
    chosen = choose(ask(Demand(53000, 13300, 7)), view())
    assert isinstance(chosen, SendHere | HandOver)


COLD = ColdStart(duration_s=3.0, requests_per_s=4.0)


@pytest.mark.parametrize(
    ('missed_ago_s', 'cold', 'may_be_cold'),
    [(0.5, COLD, True), (3.5, COLD, False), (0.5, None, False)],
)
def test_an_upstream_that_was_out_of_reach_may_be_cold(
    missed_ago_s,
    cold,
    may_be_cold,
):
    """It crashed behind a cut and started again under its name.

    No control VM hears of it, and with the load of before it would crash.
    """
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    service = SimpleNamespace(name='llm', engine=True, cold_start=cold)
    asked = replace(ask(SHORT), service=service)
    chooser.upstreams.health_of('k-0').record_connect_failure(
        NOW_S - missed_ago_s
    )
    upstream = make_upstream('k-0', 'kochi')
    assert chooser.filter.may_be_cold(upstream, asked) is may_be_cold


@pytest.mark.parametrize(
    ('known', 'opens_in_s'),
    [
        ({}, NO_UPSTREAM_RETRY_S),
        ({'full_until_s': NOW_S + 0.15}, 0.15),
        ({'down_until_s': NOW_S + 0.7}, 0.7),
        ({'down_until_s': NOW_S + 0.7, 'full_until_s': NOW_S - 1}, 0.7),
        ({'full_until_s': NOW_S + 0.01}, MIN_RETRY_S),
    ],
)
def test_callers_are_told_when_an_upstream_opens(known, opens_in_s):
    """The only upstream is full or out of reach for a moment.

    Callers come back once: too early they are refused for good, too late
    their answers are.
    """
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    upstream = make_upstream('k-0', 'kochi')
    health = chooser.upstreams.health_of('k-0')
    for name, until_s in known.items():
        setattr(health, name, until_s)
    found = chooser.opens_in_s(
        ask(SHORT),
        RegistryView(upstreams={'k-0': upstream}),
    )
    assert found == pytest.approx(opens_in_s)


def test_callers_are_told_when_another_region_opens():
    """A region had no place a moment ago, and is asked again soon."""
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    chooser.neighbours.avoid('tvm llm', NOW_S + 0.3)
    found = chooser.opens_in_s(ask(SHORT), replace(view(), upstreams={}))
    assert found == pytest.approx(0.3)
