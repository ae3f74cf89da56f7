"""Organisations that send requests of routes, by the keys that they hold.

The manifest holds digests of keys and never a key: whoever reads a log, a
backup or a message between processes must not be able to send requests.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from godwitshunt.manifest.base import Digest, Name, StrictModel

# It is told to upstreams in a header: printable, and without blanks.
HeaderText = Annotated[str, Field(pattern='^[!-~]{1,256}$')]


class LimitUnit(StrEnum):
    """What an organisation's limit counts."""

    requests = 'requests'
    tokens = 'tokens'


class OrganisationLimit(StrictModel):
    """What an organisation may send over all VMs together.

    Parameters
    ----------
    per_s : float
        Units a second.
    burst : float
        Units at once beyond that.
    unit : LimitUnit
        Requests, or the tokens of their prompts and answers.
    untold_tokens : float
        What a request counts for that tells no tokens.
    """

    per_s: float = Field(gt=0, allow_inf_nan=False)
    burst: float = Field(default=0.0, ge=0, allow_inf_nan=False)
    unit: LimitUnit = LimitUnit.requests
    untold_tokens: float = Field(default=0.0, ge=0, allow_inf_nan=False)

    def cost(self, tokens: int) -> float:
        """Return what a request counts for.

        Parameters
        ----------
        tokens : int
            Of its prompt and its answer together; 0 where it tells none.

        Examples
        --------
        >>> limit = OrganisationLimit(
        ...     per_s=9.0, unit=LimitUnit.tokens, untold_tokens=200
        ... )
        >>> limit.cost(1540), limit.cost(0)
        (1540.0, 200.0)
        """
        if self.unit is LimitUnit.requests:
            return 1.0
        return float(tokens or self.untold_tokens)


class Organisation(StrictModel):
    """An organisation whose requests name it by a key.

    Parameters
    ----------
    name : str
        Told to upstreams in place of the key.
    keys_sha256 : tuple of str
        SHA-256 of each of its keys, in hexadecimal.
    rank : int or None
        Its requests go before those of a higher rank, whatever the route;
        among equals the route's rank decides. None is 0.
    homes : tuple of str
        Regions that may serve it; empty for all. Where a route has homes as
        well, both bind.
    limit : OrganisationLimit or None
        None for no limit.
    """

    name: HeaderText
    keys_sha256: tuple[Digest, ...] = ()
    rank: int | None = Field(default=None, ge=0)
    homes: tuple[Name, ...] = ()
    limit: OrganisationLimit | None = None


def check_keys(organisations: Iterable[Organisation]) -> None:
    """Raise ValueError where two organisations share a key.

    The key is not told: the error goes to logs.
    """
    owners: dict[str, str] = {}
    for one in organisations:
        for digest in one.keys_sha256:
            owner = owners.setdefault(digest, one.name)
            if owner != one.name:
                raise ValueError(
                    f'organisations: {owner} and {one.name} share a key',
                )
