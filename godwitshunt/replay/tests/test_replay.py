"""Traces, generator, results and stated outcomes; sending over sockets."""

import asyncio
import json
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from godwitshunt.exchange.listener import Listener, ListenerOptions
from godwitshunt.exchange.problems import WholeAnswer, json_answer
from godwitshunt.manifest import allowed_regions
from godwitshunt.programs.replay import generate, parse_entries, run
from godwitshunt.replay.deployments import DEPLOYMENTS, QUICK_QUESTIONS
from godwitshunt.replay.generator import (
    Demand,
    generate_manifest,
    generate_trace,
)
from godwitshunt.replay.outcomes import (
    StatedOutcomes,
    check_outcomes,
    outcomes_path,
)
from godwitshunt.replay.prompts import prompt_text
from godwitshunt.replay.results import Ending, Results, Sample
from godwitshunt.replay.sender import Sender
from godwitshunt.replay.traces import (
    TraceError,
    TraceRequest,
    read_trace,
    write_trace,
)
from godwitshunt.settings import LimitSettings
from godwitshunt.telemetry import Metrics
from standins.ports import free_address


def ask(arrival_s=0.0, **fields):
    """Return a chat request of a caller of Kochi."""
    given = {
        'caller': 'ward',
        'request_class': 'urgent',
        'service': 'chat',
        'model': 'm',
        'home': 'kochi',
        'prefix': 1,
        'prefix_tokens': 64,
        'prompt_tokens': 80,
        'output_tokens': 4,
        **fields,
    }
    return TraceRequest(arrival_s=arrival_s, **given)


@pytest.mark.parametrize(
    ('line', 'field'),
    [
        ('{"arrival_s": -1}', 'line 2.arrival_s'),
        ('{"arrival_s": 0, "colour": 1}', 'line 2.colour'),
        ('{', 'line 2'),
        ('', 'line 2'),
    ],
)
def test_wrong_lines_are_named(tmp_path, line, field):
    """A trace was written by another tool or cut off by a full disk."""
    path = tmp_path / 'trace.jsonl'
    path.write_text(f'{ask().model_dump_json()}\n{line}\n')
    with pytest.raises(TraceError) as wrong:
        read_trace(path)
    assert field in {problem.field for problem in wrong.value.problems}


@pytest.mark.parametrize('name', sorted(DEPLOYMENTS))
def test_generated_days(name, tmp_path):
    """Regions peak at their own times; lengths have long tails."""
    profile = DEPLOYMENTS[name]
    demand = Demand(40, 200, swing=0.8)
    trace = generate_trace(profile, demand)
    path = tmp_path / 'trace.jsonl'
    write_trace(path, trace)
    assert read_trace(path) == trace
    assert 7200 < len(trace) < 8800
    for region in profile.regions:
        times = [each.arrival_s for each in trace if each.home == region.name]
        slots = Counter(int(when // 20) for when in times)
        busiest = max(slots, key=slots.get)
        assert abs(busiest - int(10 * region.peak)) <= 2
    urgent = sorted(
        each.output_tokens for each in trace if each.request_class == 'urgent'
    )
    assert urgent[-len(urgent) // 100] > 3 * urgent[len(urgent) // 2]
    manifest = generate_manifest(profile)
    bound = [
        caller
        for caller in manifest.callers
        if len(allowed_regions(manifest, caller)) == 1
    ]
    assert len(bound) == 6
    assert {each.caller for each in trace} == {
        caller.name for caller in manifest.callers
    }


def test_prompts_share_their_prefix_only():
    """Equal prefixes are equal text, so that caches can hit."""
    first = prompt_text(ask(), 1)
    second = prompt_text(ask(), 2)
    assert first[:256] == second[:256]
    assert first != second
    assert prompt_text(ask(prefix=2), 1)[:256] != first[:256]
    assert prompt_text(ask(), 1) == first


SAMPLES = (
    Sample(ask(), Ending.whole, 0.1, 0.5, 'kochi'),
    Sample(ask(), Ending.whole, 0.3, 0.5, 'kozhikode'),
    Sample(ask(request_class='long'), Ending.late, 4.0, 9.0, 'kochi'),
    Sample(ask(), Ending.refused, region='kochi'),
    Sample(ask(), Ending.broken),
)


@pytest.mark.parametrize(
    ('stated', 'missed'),
    [
        ({}, set()),
        ({'requests': 5, 'useful_share': 0.4, 'refused_share': 0.2}, set()),
        ({'requests': 6}, {'requests'}),
        ({'useful_share': 0.5}, {'useful_share'}),
        ({'refused_share': 0.1}, {'refused_share'}),
        ({'broken_share': 0}, {'broken_share'}),
        ({'share_away': 0.3}, {'share_away'}),
        ({'first_p99_s': {'urgent': 0.2}}, {'first_p99_s.urgent'}),
        ({'first_p99_s': {'long': 5}}, set()),
    ],
)
def test_stated_outcomes(stated, missed):
    """Each outcome that was stated beside a trace is held against the run."""
    results = Results.from_samples(SAMPLES, {'kochi': 2.0, 'kozhikode': 1.0})
    found = check_outcomes(StatedOutcomes(**stated), results)
    assert {each.outcome for each in found} == missed
    assert results.cost == pytest.approx((2 * 2 + 1) * 4 / 1000)
    assert results.document()['classes']['urgent']['endings']['whole'] == 2


STREAM = b'data: {}\n\ndata: [DONE]\n\n'


@asynccontextmanager
async def serving(answer):
    """Yield the address of an entry that answers everything alike."""
    address = free_address()
    listed = {'entries': [{'address': address.model_dump()}], 'key_stamp': 'k'}

    async def handle(request, writer):
        if request.path == '/v1/entries':
            await writer.whole(json_answer(listed))
            return
        await answer(request, writer)

    listener = Listener(
        ListenerOptions(address, LimitSettings()),
        Metrics(),
        handle,
    )
    await listener.start()
    try:
        yield address
    finally:
        await listener.close()


def whole(status, body, *headers):
    """Return a handler that sends one whole answer."""

    async def answer(request, writer):
        await writer.whole(WholeAnswer(status, tuple(headers), body))

    return answer


async def stall(request, writer):
    """Answer long after the deadline."""
    await asyncio.sleep(0.4)
    await writer.whole(WholeAnswer(200, (), STREAM))


SERVED = (b'godwitshunt-region', b'kochi')
NOT_RUN = (b'godwitshunt-outcome', b'not-run')


@pytest.mark.parametrize(
    ('answer', 'ending', 'fields'),
    [
        (whole(200, STREAM, SERVED), Ending.whole, {}),
        (whole(200, STREAM[:-8], SERVED), Ending.broken, {}),
        (whole(503, b'{}', NOT_RUN), Ending.refused, {}),
        (whole(502, b'{}'), Ending.unknown, {}),
        (stall, Ending.late, {'deadline_s': 0.01}),
        (whole(200, b'{}'), Ending.whole, {'model': None, 'idempotent': False}),
    ],
)
async def test_endings_as_a_caller_sees_them(
    monkeypatch,
    answer,
    ending,
    fields,
):
    """A part of an answer, a refusal and a late answer are told apart."""
    monkeypatch.setattr('godwitshunt.replay.sender.GRACE_S', 0.05)
    noticed = []
    async with serving(answer) as address:
        sender = Sender({'': (address,)}, {'ward': 'key'}, noticed.append)
        samples = await sender.replay((ask(**fields), ask(0.01, **fields)))
    assert {sample.ending for sample in samples} == {ending}
    assert len(noticed) == 2


async def test_no_entry_refuses_and_goes_on(monkeypatch):
    """No entry VM runs; a replay must end all the same."""
    monkeypatch.setattr('godwitshunt.replay.sender.FIRST_PAUSE_S', 0)
    sender = Sender({'': (free_address(),)}, {}, lambda _: None)
    samples = await sender.replay((ask(),))
    assert samples[0].ending is Ending.refused


def test_commands(tmp_path, capsys, monkeypatch):
    """The generator's files are what the replay reads; outcomes decide."""
    monkeypatch.setattr('godwitshunt.replay.sender.FIRST_PAUSE_S', 0)
    assert generate('nowhere', tmp_path) == 2
    assert generate('quick-questions', tmp_path, rate=4, duration=1) == 0
    trace = tmp_path / 'trace.jsonl'
    address = free_address()
    arguments = {
        'entry': [f'kochi={address}'],
        'keys': tmp_path / 'keys.json',
        'manifest': tmp_path / 'manifest.json',
        'results': tmp_path / 'results.json',
        'chart': tmp_path / 'chart.svg',
    }
    assert run(trace, **arguments) == 0
    document = json.loads((tmp_path / 'results.json').read_text())
    assert document['endings']['refused'] == document['requests']
    assert (tmp_path / 'chart.svg').stat().st_size > 1000
    outcomes_path(trace).write_text('{"refused_share": 0.5}')
    assert run(trace, **arguments) == 1
    outcomes_path(trace).write_text('{"refused": 0.5}')
    assert run(trace, **arguments) == 2
    assert 'refused' in capsys.readouterr().err
    assert set(parse_entries(arguments['entry'])) == {'', 'kochi'}
    assert QUICK_QUESTIONS.works[0].model == 'chat-model'
