"""Lengths and block hashes of prompts.

Engines announce the same hashes for what they have cached, so both sides must
cut and hash prompts alike; `docs/interfaces.md` states the rule.
"""

import hashlib
import json

from pydantic import BaseModel, ConfigDict, Field

BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
HASH_BYTES = 8
SIGN_BIT = 2**63
DEFAULT_OUTPUT_TOKENS = 256
MAX_BLOCKS = 512


class ChatMessage(BaseModel):
    """One message; further fields belong to the engine."""

    model_config = ConfigDict(extra='allow')

    role: str
    content: str | list | None = None


class ChatDocument(BaseModel):
    """What the gateway reads of ``POST /v1/chat/completions``.

    The body goes to the engine as it came; fields not named here are its own.
    """

    model_config = ConfigDict(extra='allow')

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)

    @property
    def output_tokens(self) -> int:
        """Return the most tokens that are asked for."""
        return self.max_tokens or DEFAULT_OUTPUT_TOKENS


def prompt_text(messages: list[ChatMessage]) -> str:
    r"""Return a prompt as one text: role, line end, content, line end.

    Examples
    --------
    >>> prompt_text([ChatMessage(role='user', content='Who covers?')])
    'user\nWho covers?\n'
    """
    return ''.join(
        f'{message.role}\n{content_text(message.content)}\n'
        for message in messages
    )


def content_text(content: str | list | None) -> str:
    """Return a message's content as text."""
    if isinstance(content, str):
        return content
    return json.dumps(content, sort_keys=True, separators=(',', ':'))


def prompt_tokens(text: str) -> int:
    """Return the estimated length in tokens: a quarter of the characters."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Return the hash of each whole block of 256 characters.

    Each hash covers the prompt up to the block's end: it is the first 8 bytes
    of BLAKE2b over the hash before it (8 bytes, big-endian, zero at first)
    and the block in UTF-8, with the highest bit cleared.
    """
    hashes = []
    last = 0
    whole = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(whole):
        start = index * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS].encode()
        chained = last.to_bytes(HASH_BYTES, 'big') + block
        digest = hashlib.blake2b(chained, digest_size=HASH_BYTES).digest()
        last = int.from_bytes(digest, 'big') % SIGN_BIT
        hashes.append(last)
    return tuple(hashes)
