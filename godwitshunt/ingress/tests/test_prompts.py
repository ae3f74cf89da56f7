"""Prompt sizes that callers state."""

import pytest

from godwitshunt.ingress.prompts import MAX_TOKENS, Prompt
from godwitshunt.peer import encode
from godwitshunt.picking.picker import DestinationRequest
from godwitshunt.picking.wire import query_to_wire
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.routing.selection import Demand


@pytest.mark.parametrize(
    ('parts', 'counts', 'prompt_tokens', 'output_tokens'),
    [
        (None, '99999999999,80', 0, 80),
        (None, '383,99999999999', 383, 0),
        (None, '-5,-1', 0, 0),
        ('5c1e:99999999999,91bd:4', '383,80', 383, 80),
        (','.join('5c:9999999' for _ in range(200)), '383,80', 383, 80),
        (None, f'{MAX_TOKENS},80', MAX_TOKENS, 80),
    ],
)
def test_absurd_sizes_count_as_absent(
    parts, counts, prompt_tokens, output_tokens
):
    """A picker could not be asked, and no load reported, for such a request.

    The encoder refuses what is no integer of 32 bits.
    """
    prompt = Prompt.from_headers(parts, counts)
    assert prompt.prompt_tokens == prompt_tokens
    assert prompt.output_tokens == output_tokens
    demand = Demand(
        prompt.prompt_tokens, prompt.shared_tokens, prompt.shared_key
    )
    query = DestinationRequest(
        'e', 'r', 'h', '/', 's', demand, 1.0, output_tokens=output_tokens
    )
    encode(query_to_wire(query, ttypes.LoadReport(1, [])))
    unread_tokens = demand.unread_tokens(cached=False)
    encode(ttypes.PlaceGiven(kind=1, unread_tokens=unread_tokens))
