"""What control replicas told a VM that has no revision yet; pure."""

from dataclasses import dataclass, field

from godwitshunt.configuration.gen.wire.ttypes import ConfigurationNews
from godwitshunt.settings import Address


@dataclass(frozen=True)
class Told:
    """News, and when it was asked for in monotonic seconds."""

    news: ConfigurationNews
    asked_at: float


@dataclass
class FirstReplies:
    """The last reply of each replica to a VM that has just started.

    Once a majority has told its revision, the newest of them is older than
    what was accepted only where a replica of the rest alone knows of that.

    Examples
    --------
    >>> replies = FirstReplies()
    >>> for port, revision in ((1, 7), (2, 0), (3, 8)):
    ...     news = ConfigurationNews(revision=revision)
    ...     replies.note(Address(host='10.0.0.1', port=port), Told(news, 0.0))
    >>> replies.newest().news.revision
    8
    >>> replies.has_majority(asked=3), replies.has_majority(asked=5)
    (True, False)
    """

    replies: dict[Address, Told] = field(default_factory=dict)

    def note(self, address: Address, told: Told) -> None:
        """Note a reply."""
        self.replies[address] = told

    def has_majority(self, asked: int) -> bool:
        """Tell whether more than half of the replicas told a revision.

        One that has lost its disk tells none, and is no vote.
        """
        holding = sum(bool(one.news.revision) for one in self.replies.values())
        return holding > asked // 2

    def newest(self) -> Told:
        """Return the reply with the newest revision."""
        return max(self.replies.values(), key=lambda one: one.news.revision)
