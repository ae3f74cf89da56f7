"""How a VM takes over newer revisions; pure.

A revision that was once in force never gives way to an older one, whatever
order messages arrive in, so that nothing an operator changed reverts.
"""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from godwitshunt.configuration.delta import patch
from godwitshunt.configuration.document import (
    DigestMismatch,
    Document,
    DocumentFault,
    digest_of,
    unpack,
    unpack_document,
)
from godwitshunt.configuration.gen.wire.ttypes import ConfigurationNews
from godwitshunt.configuration.history import DocumentRevision

NEVER = float('-inf')


@dataclass(frozen=True)
class SyncState:
    """What a VM holds.

    Parameters
    ----------
    latest : DocumentRevision or None
        The revision in force; None before the first.
    proof_at : float
        Monotonic time of the last proof of a live quorum, in seconds.
    needs_full_document : bool
        True where a delta did not fit and the whole document is wanted.
    started_at : float
        Monotonic time when the process started, in seconds.
    unproven_after_s : float
        Seconds after its start from which a VM without a revision begins
        with one that no quorum vouches for; infinite for never.
    """

    latest: DocumentRevision | None = None
    proof_at: float = NEVER
    needs_full_document: bool = False
    started_at: float = NEVER
    unproven_after_s: float = -NEVER

    @property
    def base_revision(self) -> int:
        """The revision to ask a delta over; 0 asks for the whole."""
        if self.latest is None or self.needs_full_document:
            return 0
        return self.latest.revision


@dataclass(frozen=True)
class RevisionApplied:
    """A higher revision came into force."""

    latest: DocumentRevision


@dataclass(frozen=True)
class NothingNewer:
    """The news held nothing that is higher than what is in force."""


@dataclass(frozen=True)
class NewsRefused:
    """The news could not be applied; the whole document is asked for."""

    fault: DocumentFault


NewsOutcome = RevisionApplied | NothingNewer | NewsRefused


def apply_update(
    sync_state: SyncState,
    news: ConfigurationNews,
    asked_at: float | None,
    *,
    from_peer: bool = False,
) -> tuple[SyncState, NewsOutcome]:
    """Apply a reply or a push.

    Parameters
    ----------
    sync_state : SyncState
        What the VM holds.
    news : ConfigurationNews
        From a control replica or a peer.
    asked_at : float or None
        When the call that this answers was sent, in monotonic seconds. None
        for a push: its delay on the way is unknown, so it proves no quorum.
    from_peer : bool
        True where a VM of the same region, which has the revision in force,
        sent the news.

    Notes
    -----
    A proof of a quorum counts only once the revision that came with it is in
    force. So a VM with a fresh proof holds every change that was committed
    before that proof, also where the proof came through a peer.
    """
    latest = sync_state.latest
    if latest is not None and news.revision <= latest.revision:
        return proven(sync_state, news, asked_at), NothingNewer()
    if not news.revision or not may_begin(
        sync_state, news, asked_at, from_peer
    ):
        return sync_state, NothingNewer()
    match read_news(latest, news):
        case Err(fault):
            return replace(sync_state, needs_full_document=True), NewsRefused(
                fault
            )
        case Ok(document):
            newer = DocumentRevision(news.revision, news.digest, document)
            sync_state = replace(
                sync_state, latest=newer, needs_full_document=False
            )
            return proven(sync_state, news, asked_at), RevisionApplied(newer)


def may_begin(
    sync_state: SyncState,
    news: ConfigurationNews,
    asked_at: float | None,
    from_peer: bool,
) -> bool:
    """Tell whether a VM without a revision may begin with this one.

    Before a restart without a disk the VM may have said that a newer one is
    in force. A control replica that lags would take it back to an older one,
    and it would serve by rules that an accepted manifest has replaced. So the
    revision must include every commit before the restart; or it must be in
    force on a VM of the region, which was waited for as much as this one.
    """
    if sync_state.latest is not None or from_peer:
        return True
    if asked_at is None:
        return False
    if asked_at - sync_state.started_at >= sync_state.unproven_after_s:
        return True
    if news.quorum_age_s < 0:
        return False
    return asked_at - news.quorum_age_s >= sync_state.started_at


def proven(
    sync_state: SyncState,
    news: ConfigurationNews,
    asked_at: float | None,
) -> SyncState:
    """Note the proof of a quorum that came with the news."""
    if asked_at is None or news.quorum_age_s < 0:
        return sync_state
    proof_at = max(sync_state.proof_at, asked_at - news.quorum_age_s)
    return replace(sync_state, proof_at=proof_at)


def read_news(
    latest: DocumentRevision | None,
    news: ConfigurationNews,
) -> Result[Document, DocumentFault]:
    """Return the document that the news leads to, its digest checked."""
    read = read_body(latest, news)
    if isinstance(read, Ok):
        found = digest_of(read.ok_value)
        if found != news.digest:
            return Err(DigestMismatch(news.digest, found))
    return read


def read_body(
    latest: DocumentRevision | None,
    news: ConfigurationNews,
) -> Result[Document, DocumentFault]:
    """Read the whole document, or the delta over the held one."""
    if not news.base_digest:
        return unpack_document(news.body)
    found = '' if latest is None else latest.digest
    if latest is None or found != news.base_digest:
        return Err(DigestMismatch(news.base_digest, found))
    return unpack(news.body).and_then(
        lambda delta: patch(latest.document, delta)
    )
