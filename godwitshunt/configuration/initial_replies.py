"""Replies of control replicas to a VM without a revision; no I/O."""

from dataclasses import dataclass, field

from godwitshunt.configuration.gen.wire.ttypes import ConfigurationNews
from godwitshunt.settings import Address


@dataclass(frozen=True)
class UpdateReply:
    """An update and the time of its request, in monotonic seconds."""

    update: ConfigurationNews
    requested_at: float


@dataclass
class InitialReplies:
    """Last reply of each control replica to a VM that has just started.

    Once a majority has replied with a revision, the newest of these is older
    than the newest accepted one only if a replica outside that majority is the
    only one that has it.

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
        """Store the reply of a replica."""
        self.replies[address] = reply

    def has_majority(self, replica_count: int) -> bool:
        """Return whether more than half of the replicas sent a revision.

        A replica that has lost its disk sends none and is not counted.
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
