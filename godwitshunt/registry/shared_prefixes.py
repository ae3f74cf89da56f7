"""Shared prompt prefixes in use at one engine; no I/O.

Requests with the same shared prefix use the same cached tokens. If each of
them were counted with its whole prompt, three requests of 17,000 tokens would
seem to take the memory that ten of them take.
"""

from dataclasses import dataclass, field


@dataclass
class SharedPrefixes:
    """Counts each prefix once, for as long as a request uses it.

    Parameters
    ----------
    users : dict
        Number of users by key of the prefix.
    tokens : dict
        Length as counted, by key. Later users may state another length;
        without this, what is released would differ from what was reserved.

    Examples
    --------
    >>> prefixes = SharedPrefixes()
    >>> prefixes.add(7, 13300), prefixes.add(7, 13300)
    (13300, 0)
    >>> prefixes.remove(7), prefixes.remove(7)
    (0, 13300)
    """

    users: dict[int, int] = field(default_factory=dict)
    tokens: dict[int, int] = field(default_factory=dict)

    def add(self, key: int, tokens: int) -> int:
        """Add a user of a prefix; return the tokens reserved for it."""
        users = self.users.get(key, 0)
        self.users[key] = users + 1
        if users:
            return 0
        self.tokens[key] = tokens
        return tokens

    def remove(self, key: int) -> int:
        """Remove a user of a prefix; return the tokens released by it."""
        users = self.users.pop(key) - 1
        if users:
            self.users[key] = users
            return 0
        return self.tokens.pop(key)
