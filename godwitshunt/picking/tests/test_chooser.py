"""Choice of destinations for requests."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from godwitshunt.backpressure import RateLimitNotice
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
    """Return a healthy engine."""
    announcement = UpstreamAnnounced(name, 'llm', ADDRESS, 'a', 48, False, 0, 1)
    return UpstreamSeen(announcement, region, 0.0, None, silent=False)


def view(loads: dict[str, Load] | None = None) -> RegistryView:
    """Return four local engines, and two remote ones with an entry VM."""
    upstreams = [make_upstream(f'k-{number}', 'kochi') for number in range(4)]
    upstreams += [make_upstream(f't-{number}', 'tvm') for number in range(2)]
    entry = EntryRecord('t-e', 's', 'tvm', 't', ADDRESS, ADDRESS, True)
    return RegistryView(
        upstreams={
            upstream.announcement.incarnation: upstream
            for upstream in upstreams
        },
        entries={entry.name: entry},
        loads=loads or {},
        entry_points={'tvm': (entry,)},
    )


def make_request(demand: Demand, **changes) -> ChoiceRequest:
    """Return a request of a route without homes."""
    route = SimpleNamespace(homes=(), objective_s=0.8, rank=0)
    service = SimpleNamespace(name='llm', engine=True, cold_start=None)
    return ChoiceRequest(route, service, demand, 5.0, NOW_S, **changes)


def choose(request: ChoiceRequest, registry_view: RegistryView):
    """Return the choice of a VM of the first region."""
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    revision = SimpleNamespace(evacuated=frozenset())
    return chooser.choose(request, registry_view, revision)


@pytest.mark.parametrize('holder', ['k-0', 'k-1', 'k-2', 'k-3'])
def test_a_prompt_goes_to_the_engine_that_has_it_cached(holder):
    """A control VM reports that a request of another VM was read there."""
    request = make_request(LONG, holders=frozenset((holder,)))
    chosen = choose(request, view())
    assert isinstance(chosen, SendHere)
    assert chosen.upstream.announcement.incarnation == holder
    assert chosen.is_cached


def test_a_prompt_goes_to_the_region_that_has_it_cached():
    """The round trip takes 0.11 s, another prefill 0.27 s."""
    chosen = choose(make_request(LONG, holders=frozenset(('t-0',))), view())
    assert isinstance(chosen, HandOver)
    assert chosen.entry.name == 't-e'


def test_only_uncached_tokens_count_as_waiting_at_an_engine():
    """Requests whose shared parts are cached take a quarter of the time.

    When all their tokens counted, the first request made its engine look busy
    for a third of a second, and another engine processed the prompt again.
    """
    chosen = choose(make_request(LONG, holders=frozenset(('k-0',))), view())
    assert chosen.unread_tokens < LONG.prompt_tokens - 12000


def test_a_request_that_would_be_late_is_refused_at_once():
    """Every engine has prompts for a second in its queue.

    If accepted, the request would be late and delay those behind it. If
    refused at once, its caller can retry when there is capacity.
    """
    waiting = {
        name: Load(in_flight=40, pending_tokens=200_000)
        for name in view().upstreams
    }
    chosen = choose(make_request(SHORT), view(waiting))
    assert isinstance(chosen, NoPlace)
    assert chosen.overloaded
    assert chosen.retry_after_s > 0


@pytest.mark.parametrize(('in_flight', 'kind'), [(0, SendHere), (1, NoPlace)])
def test_an_idle_upstream_that_was_slow_is_used_again(in_flight, kind):
    """Requests refused for good, as no answer corrects a learned time.

    Answers that were late during a partition raise the learned time above the
    objective; refused requests never lower it.
    """
    service = SimpleNamespace(name='app', engine=None, cold_start=None)
    announcement = UpstreamAnnounced('a-0', 'app', ADDRESS, 'a', 8, False, 0, 1)
    upstream = UpstreamSeen(announcement, 'kochi', 0.0, None, silent=False)
    one = RegistryView(
        upstreams={'a-0': upstream},
        entries={},
        loads={'a-0': Load(in_flight=in_flight, pending_tokens=0)},
        entry_points={},
    )
    chooser = Chooser(
        'kochi', Upstreams(), Neighbours('k-e', 'kochi'), Random(1)
    )
    speed = chooser.upstreams.learned_speed(service)
    for _ in range(40):
        speed.record_answer(1.0, 1.0)
    request = replace(make_request(Demand(0, 0, 0)), service=service)
    revision = SimpleNamespace(evacuated=frozenset())
    for _ in range(20):
        chosen = chooser.choose(request, one, revision)
    assert isinstance(chosen, kind)


def test_the_longest_prompts_are_read_by_an_idle_engine():
    """Reading 53,000 tokens takes 1.5 s, longer than the objective.

    If only the objective bounded the prediction, the longest prompts would
    always be refused.
    """
    chosen = choose(make_request(Demand(53000, 13300, 7)), view())
    assert isinstance(chosen, SendHere | HandOver)


COLD = ColdStart(duration_s=3.0, requests_per_s=4.0)


@pytest.mark.parametrize(
    ('failed_ago_s', 'cold', 'may_be_cold'),
    [(0.5, COLD, True), (3.5, COLD, False), (0.5, None, False)],
)
def test_an_upstream_that_was_unreachable_may_be_cold(
    failed_ago_s,
    cold,
    may_be_cold,
):
    """It crashed during a partition and restarted under the same name.

    No control VM is informed, and the previous load would crash it again.
    """
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    service = SimpleNamespace(name='llm', engine=True, cold_start=cold)
    request = replace(make_request(SHORT), service=service)
    chooser.upstreams.health_of('k-0').record_connect_failure(
        NOW_S - failed_ago_s
    )
    upstream = make_upstream('k-0', 'kochi')
    assert chooser.filter.may_be_cold(upstream, request) is may_be_cold


@pytest.mark.parametrize(
    ('health_fields', 'opens_in_s'),
    [
        ({}, NO_UPSTREAM_RETRY_S),
        ({'full_until_s': NOW_S + 0.15}, 0.15),
        ({'down_until_s': NOW_S + 0.7}, 0.7),
        ({'down_until_s': NOW_S + 0.7, 'full_until_s': NOW_S - 1}, 0.7),
        ({'full_until_s': NOW_S + 0.01}, MIN_RETRY_S),
    ],
)
def test_retry_delay_if_an_upstream_is_briefly_unavailable(
    health_fields,
    opens_in_s,
):
    """The only upstream is full or unreachable for a moment.

    Callers retry once: too early, they are refused again; too late, the answer
    misses its objective.
    """
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    upstream = make_upstream('k-0', 'kochi')
    health = chooser.upstreams.health_of('k-0')
    for name, until_s in health_fields.items():
        setattr(health, name, until_s)
    delay_s = chooser.opens_in_s(
        make_request(SHORT),
        RegistryView(upstreams={'k-0': upstream}),
    )
    assert delay_s == pytest.approx(opens_in_s)


def test_retry_delay_if_another_region_is_avoided():
    """A region had no capacity and is avoided for a short time."""
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    chooser.neighbours.avoid('tvm llm', NOW_S + 0.3)
    delay_s = chooser.opens_in_s(
        make_request(SHORT), replace(view(), upstreams={})
    )
    assert delay_s == pytest.approx(0.3)


def test_retry_delay_is_finite_without_a_share_of_a_rate_limit():
    """A VM that has just started tells callers to come back at no time."""
    chooser = Chooser(
        'kochi',
        Upstreams(),
        Neighbours('k-e', 'kochi'),
        Random(1),
    )
    limits = chooser.upstreams.rate_limiter.table
    limits.record(RateLimitNotice('k-0', 2.0, NOW_S))
    delay_s = chooser.retry_wait_s(
        make_request(SHORT),
        RegistryView(upstreams={'k-0': make_upstream('k-0', 'kochi')}),
    )
    assert MIN_RETRY_S <= delay_s <= 2 * NO_UPSTREAM_RETRY_S
