"""Prompt sizes and parts, as stated by a request's headers."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.routing.selection import MIN_SHARED_TOKENS

MAX_PARTS = 256
# Longer prompts and answers than this count as not stated. Token counts, and
# the work that they cause, are sent between VMs as integers of 32 bits.
MAX_TOKENS = 10_000_000


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt.

    Parameters
    ----------
    key : int
        Identifies the tokens of the part; equal keys mean equal tokens.
    tokens : int
        Number of tokens.
    """

    key: int
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Parts and sizes of a prompt.

    Parameters
    ----------
    parts : tuple of PromptPart
        In order. The last one is not shared with other requests.
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Maximum number of tokens to generate.
    stated_prompt_tokens : int
        Tokens of the prompt as stated by the request, apart from its parts.

    Examples
    --------
    >>> prompt = Prompt.from_headers('5c1e:800,91bd:410', '1210,80')
    >>> (
    ...     prompt.shared_tokens,
    ...     prompt.shared_key
    ...     == Prompt.from_headers('5c1e:800,77:9', '809,10').shared_key,
    ... )
    (800, True)
    """

    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    stated_prompt_tokens: int = 0

    @classmethod
    def from_headers(cls, parts: str | None, counts: str | None) -> Self:
        """Parse the headers; malformed ones count as absent.

        A wrong hint only leads to a worse choice of upstream, which is no
        reason to refuse the request.
        """
        parsed = read_parts(parts or '')
        counted = read_counts(counts or '')
        parts_total = sum(part.tokens for part in parsed)
        return cls(
            parsed,
            max(counted[0], parts_total),
            counted[1],
            counted[0],
        )

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts but the last."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def shared_key(self) -> int | None:
        """Key of all shared parts together; None where there are none."""
        shared = self.shared_parts
        if not shared:
            return None
        return hash(tuple(part.key for part in shared)) & KEY_MASK

    @property
    def is_worth_caching(self) -> bool:
        """True where the shared parts are long enough to choose by cache."""
        return self.shared_tokens >= MIN_SHARED_TOKENS

    @property
    def own_key(self) -> int | None:
        """Key of the last part; None where there are no parts."""
        return self.parts[-1].key if self.parts else None


# Keys are sent between VMs as signed integers of 64 bits.
KEY_MASK = (1 << 63) - 1


def read_parts(header: str) -> tuple[PromptPart, ...]:
    """Parse comma-separated ``ID:TOKENS``; empty where malformed."""
    parts = []
    for each in header.split(',')[:MAX_PARTS]:
        key, _, tokens = each.strip().partition(':')
        try:
            parts.append(PromptPart(int(key, 16), max(0, int(tokens))))
        except ValueError:
            return ()
    if sum(part.tokens for part in parts) > MAX_TOKENS:
        return ()
    return tuple(parts)


def read_counts(header: str) -> tuple[int, int]:
    """Parse ``PROMPT,OUTPUT`` tokens; zeros where malformed."""
    prompt, _, output = header.partition(',')
    try:
        counts = int(prompt), int(output or 0)
    except ValueError:
        return 0, 0
    prompt_tokens, output_tokens = (
        count if 0 <= count <= MAX_TOKENS else 0 for count in counts
    )
    return prompt_tokens, output_tokens
