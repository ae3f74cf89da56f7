"""Memory of an engine, in tokens of its running requests; no I/O.

Load that this answers: engines with 12 slots and 305,617 tokens get prompts
of 383 and of 17,000 to 53,200 tokens, more than they serve. Beyond its memory
an engine preempts a running request, and prefills the prompt of that request
again. A request therefore goes only where its prompt and its expected answer
have room beside those of the requests in flight. Cached prefixes that no
request in flight uses don't count: an engine evicts them first.
"""

from godwitshunt.registry.records import MemoryClaim
from godwitshunt.routing.selection import Candidate, Demand


def fits(candidate: Candidate, demand: Demand) -> bool:
    """Return whether an engine has memory for one more request.

    An engine without requests has room for any. Prompt lengths are what
    callers state, and a wrong one is no reason to refuse a request for ever.

    Examples
    --------
    >>> demand = Demand(17_000, 13_300, 7, reserved_tokens=4_000)
    >>> fits(Candidate('i-1', 'k', 12, 3, 0, free_tokens=17_000), demand)
    False
    >>> fits(
    ...     Candidate(
    ...         'i-1', 'k', 12, 3, 0, free_tokens=17_000, shares_prefix=True
    ...     ),
    ...     demand,
    ... )
    True
    """
    if not candidate.in_flight:
        return True
    if candidate.shares_prefix:
        return demand.reserved_tokens <= candidate.free_tokens
    return unshared_tokens(demand) <= candidate.free_tokens


def reserved_tokens(
    demand: Demand, answer_tokens: int, memory_tokens: int
) -> int:
    """Return the memory that a request needs without its shared prefix.

    Short shared prefixes are counted with each request: they are too small
    to be worth being tracked.

    Parameters
    ----------
    answer_tokens : int
        Expected length of the answer.
    memory_tokens : int
        Memory of an engine. No request is reserved more, whatever its caller
        states.

    Examples
    --------
    >>> reserved_tokens(Demand(17_000, 13_300, 7), 300, 305_617)
    4000
    >>> reserved_tokens(Demand(383, 92, 7), 50, 305_617)
    433
    """
    own_tokens = demand.prompt_tokens + answer_tokens
    if demand.has_affinity:
        own_tokens -= demand.shared_tokens
    return min(memory_tokens, max(0, own_tokens))


def memory_claim(demand: Demand) -> MemoryClaim:
    """Return what a request claims of the engine that it is sent to."""
    if not demand.has_affinity:
        return MemoryClaim(demand.reserved_tokens)
    return MemoryClaim(
        demand.reserved_tokens, demand.shared_key, demand.shared_tokens
    )


def unshared_tokens(demand: Demand) -> int:
    """Return the memory that a request needs as the only user of its prefix."""
    shared_tokens = demand.shared_tokens if demand.has_affinity else 0
    return demand.reserved_tokens + shared_tokens
