"""What the stand-ins answer: a function of the request alone.

A test that knows a request knows its only right answer, so that a part of an
answer, or another caller's, is seen at once.
"""

import hashlib
import json

DIGEST_LETTERS = 12


def prompt_digest(prompt: str) -> str:
    """Return a short digest of a prompt's text."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:DIGEST_LETTERS]


def answer_tokens(prompt: str, count: int) -> list[str]:
    r"""Return the tokens of the model's answer to a prompt.

    Examples
    --------
    >>> answer_tokens('user\nhello\n', 2)
    ['447892644520.0 ', '447892644520.1 ']
    """
    digest = prompt_digest(prompt)
    return [answer_token(digest, index) for index in range(count)]


def answer_token(digest: str, index: int) -> str:
    """Return one token of the answer to the prompt with a digest."""
    return f'{digest}.{index} '


def answer_text(prompt: str, count: int) -> str:
    """Return the whole text of the model's answer to a prompt."""
    return ''.join(answer_tokens(prompt, count))


def service_answer(method: str, target: str, body: bytes, name: str) -> bytes:
    """Return the plain service's answer to a call."""
    document = {
        'method': method,
        'target': target,
        'body_sha256': hashlib.sha256(body).hexdigest(),
        'served_by': name,
    }
    return json.dumps(document, sort_keys=True).encode()
