"""What a request tells of its prompt."""

from dataclasses import dataclass
from typing import Self

from godwitshunt.routing.selection import MIN_SHARED_TOKENS

MAX_PARTS = 256


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt.

    Parameters
    ----------
    key : int
        Names the part's tokens; requests that share it share the tokens.
    """

    key: int
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Parts and sizes of a prompt.

    Parameters
    ----------
    parts : tuple of PromptPart
        In order. The last one is the request's own.
    prompt_tokens : int
        Tokens to read.
    output_tokens : int
        Tokens to generate, at most.
    stated_prompt_tokens : int
        Tokens to read, as the request tells them beside its parts.

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
        """Read what the headers tell; what cannot be read counts as nothing.

        A wrong hint costs a worse place, which is no reason to refuse.
        """
        read = read_parts(parts or '')
        attempt_numbers = read_counts(counts or '')
        known = sum(part.tokens for part in read)
        return cls(
            read,
            max(attempt_numbers[0], known),
            attempt_numbers[1],
            attempt_numbers[0],
        )

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts but the request's own."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_key(self) -> int | None:
        """Names the shared parts as a whole; None where there are none."""
        shared = self.parts[:-1]
        if not shared:
            return None
        return hash(tuple(part.key for part in shared)) & KEY_MASK

    @property
    def is_worth_caching(self) -> bool:
        """True where shared parts are long enough to go to their holder."""
        return self.shared_tokens >= MIN_SHARED_TOKENS

    @property
    def own_key(self) -> int | None:
        """Names the request's own part; None where there are no parts."""
        return self.parts[-1].key if self.parts else None


# Keys pass between VMs as signed integers of 64 bits.
KEY_MASK = (1 << 63) - 1


def read_parts(told: str) -> tuple[PromptPart, ...]:
    """Read ``ID:TOKENS`` by commas."""
    found = []
    for one in told.split(',')[:MAX_PARTS]:
        key, _, tokens = one.strip().partition(':')
        try:
            found.append(PromptPart(int(key, 16), max(0, int(tokens))))
        except ValueError:
            return ()
    return tuple(found)


def read_counts(told: str) -> tuple[int, int]:
    """Read prompt and output tokens by a comma."""
    prompt, _, output = told.partition(',')
    try:
        return max(0, int(prompt)), max(0, int(output or 0))
    except ValueError:
        return 0, 0
