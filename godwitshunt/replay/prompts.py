"""Prompts and bodies of a trace's requests, the same in every replay."""

import json
from functools import lru_cache
from random import Random

from godwitshunt.exchange.prompts import CHARACTERS_PER_TOKEN
from godwitshunt.replay.traces import TraceRequest

TEXTS_KEPT = 256
LETTERS = 'abcdefghijklmnopqrstuvwxyz '


def prompt_text(request: TraceRequest, number: int) -> str:
    """Return a prompt: equal starts for equal prefixes, then its own part.

    Parameters
    ----------
    request : TraceRequest
        Tells the lengths.
    number : int
        The request's place in the trace; makes its own part unique.
    """
    own_tokens = max(1, request.prompt_tokens - request.prefix_tokens)
    shared = draw_text(f'prefix {request.prefix}', request.prefix_tokens)
    return f'{shared}{number} {draw_text(f"own {number}", own_tokens)}'


@lru_cache(maxsize=TEXTS_KEPT)
def draw_text(seed: str, tokens: int) -> str:
    """Return text of a length in tokens; equal seeds give equal text."""
    count = tokens * CHARACTERS_PER_TOKEN
    return ''.join(Random(seed).choices(LETTERS, k=count))


def chat_body(request: TraceRequest, number: int) -> bytes:
    """Return the body of a streamed chat request."""
    message = {'role': 'user', 'content': prompt_text(request, number)}
    document = {
        'model': request.model,
        'messages': [message],
        'stream': True,
        'max_tokens': max(1, request.output_tokens),
    }
    return json.dumps(document).encode()
