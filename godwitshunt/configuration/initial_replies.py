"""What control replicas told a VM that has no revision yet; pure."""

from dataclasses import dataclass, field

from godwitshunt.configuration.gen.wire.ttypes import ConfigurationNews
from godwitshunt.settings import Address


@dataclass(frozen=True)
class UpdateReply:
    """News, and when it was asked for in monotonic seconds."""

    update: ConfigurationNews
    requested_at: float


@dataclass
class InitialReplies:
    """The last reply of each replica to a VM that has just started.

    Once a majority has told its revision, the newest of them is older than
    what was accepted only where a replica of the rest alone knows of that.

    Examples
    --------
    >>> replies = InitialReplies()
    >>> for port, revision in ((1, 7), (2, 0), (3, 8)):
    ...     update = ConfigurationNews(revision=revision)
    ...     replies.record(
    ...         Address(host='10.0.0.1', port=port), UpdateReply(update, 0.0)
    ...     )
    >>> replies.newest().update.revision
    8
    >>> (
    ...     replies.has_majority(replica_count=3),
    ...     replies.has_majority(replica_count=5),
    ... )
    (True, False)
    """

    replies: dict[Address, UpdateReply] = field(default_factory=dict)

    def record(self, address: Address, reply: UpdateReply) -> None:
        """Note a reply."""
        self.replies[address] = reply

    def has_majority(self, replica_count: int) -> bool:
        """Tell whether more than half of the replicas told a revision.

        One that has lost its disk tells none, and is no vote.
        """
        with_revision = sum(
            bool(reply.update.revision) for reply in self.replies.values()
        )
        return with_revision > replica_count // 2

    def newest(self) -> UpdateReply:
        """Return the reply with the newest revision."""
        return max(
            self.replies.values(), key=lambda reply: reply.update.revision
        )
