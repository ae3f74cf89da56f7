"""Organisations that send requests, identified by their keys.

The manifest contains digests of keys and never the keys themselves: read
access to a log, a backup or a message between processes must not be enough to
send requests.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated

from pydantic import Field

from godwitshunt.manifest.base import Digest, Name, StrictModel

# Sent to upstreams in a header, hence printable ASCII without spaces.
HeaderText = Annotated[str, Field(pattern='^[!-~]{1,256}$')]


class LimitUnit(StrEnum):
    """Unit in which an organisation's limit is counted."""

    requests = 'requests'
    tokens = 'tokens'


class OrganisationLimit(StrictModel):
    """Rate limit of an organisation over all VMs together.

    Parameters
    ----------
    per_s : float
        Units per second.
    burst : float
        Units allowed in a burst beyond that rate.
    unit : LimitUnit
        Requests, or the tokens of their prompts and answers.
    untold_tokens : float
        Tokens counted for a request that does not state its tokens.
    """

    per_s: float = Field(gt=0, allow_inf_nan=False)
    burst: float = Field(default=0.0, ge=0, allow_inf_nan=False)
    unit: LimitUnit = LimitUnit.requests
    untold_tokens: float = Field(default=0.0, ge=0, allow_inf_nan=False)

    def cost(self, tokens: int) -> float:
        """Return the units that a request uses.

        Parameters
        ----------
        tokens : int
            Tokens of its prompt and its answer together; 0 if it does not state
            them.

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
    """An organisation whose requests are authenticated by a key.

    Parameters
    ----------
    name : str
        Sent to upstreams in place of the key.
    keys_sha256 : tuple of str
        SHA-256 of each of its keys, in hexadecimal.
    rank : int or None
        Requests of smaller ranks are served first, regardless of the route;
        between equal ranks the rank of the route decides. None means 0.
    homes : tuple of str
        Regions that may serve its requests; empty for all. If the route has
        homes too, only regions in both may.
    limit : OrganisationLimit or None
        Its rate limit; None for no limit.
    """

    name: HeaderText
    keys_sha256: tuple[Digest, ...] = ()
    rank: int | None = Field(default=None, ge=0)
    homes: tuple[Name, ...] = ()
    limit: OrganisationLimit | None = None


def check_keys(organisations: Iterable[Organisation]) -> None:
    """Raise ValueError if two organisations share a key.

    The message omits the key because it is written to logs.
    """
    owners: dict[str, str] = {}
    for organisation in organisations:
        for digest in organisation.keys_sha256:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                raise ValueError(
                    f'organisations: {owner} and {organisation.name} '
                    'share a key',
                )
