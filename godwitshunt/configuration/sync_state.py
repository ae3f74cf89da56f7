"""Rules by which a VM applies newer revisions; no I/O.

A revision is never replaced by an older one, in whatever order messages
arrive, so that no operator's change is reverted.
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
    """Latest revision of a VM and its last proof of a quorum.

    Parameters
    ----------
    latest : DocumentRevision or None
        The latest revision; None before the first.
    proof_at : float
        Monotonic time of the last proof of a live quorum, in seconds.
    needs_full_document : bool
        True if a delta could not be applied and the next request asks for the
        full document.
    mismatched_digest : str
        Digest of the latest document if a delta to another one was received
        since it was applied; empty otherwise.
    started_at : float
        Monotonic time when the process started, in seconds.
    unproven_after_s : float
        Seconds after its start from which a VM without a revision applies one
        without a proof of a quorum; infinite for never.
    """

    latest: DocumentRevision | None = None
    proof_at: float = NEVER
    needs_full_document: bool = False
    mismatched_digest: str = ''
    started_at: float = NEVER
    unproven_after_s: float = -NEVER

    @property
    def base_revision(self) -> int:
        """Revision to request a delta from; 0 requests the full document."""
        if self.latest is None or self.needs_full_document:
            return 0
        return self.latest.revision


@dataclass(frozen=True)
class RevisionApplied:
    """The update held a newer revision."""

    latest: DocumentRevision


@dataclass(frozen=True)
class NoNewerRevision:
    """The update held no newer revision that may be applied."""


@dataclass(frozen=True)
class UpdateRejected:
    """The update could not be applied; the full document is needed."""

    fault: DocumentFault


UpdateOutcome = RevisionApplied | NoNewerRevision | UpdateRejected


def apply_update(
    sync_state: SyncState,
    update: ConfigurationNews,
    requested_at: float | None,
    *,
    from_peer: bool = False,
) -> tuple[SyncState, UpdateOutcome]:
    """Apply an update from a reply or a push.

    Parameters
    ----------
    sync_state : SyncState
        State of the VM before the update.
    update : ConfigurationNews
        From a control replica or a peer.
    requested_at : float or None
        When the call that this answers was sent, in monotonic seconds. None
        for a push: its network delay is unknown, so it proves no quorum.
    from_peer : bool
        True if a VM of the same region sent the update from its active
        revision.

    Notes
    -----
    A proof of a quorum counts only once the revision that came with it is
    applied. So a VM with a fresh proof has every change that was committed
    before that proof, even if the proof came from a peer.
    """
    latest = sync_state.latest
    if latest is not None and update.revision <= latest.revision:
        return with_proof(sync_state, update, requested_at), NoNewerRevision()
    if not update.revision or not may_start_with(
        sync_state, update, requested_at, from_peer
    ):
        return sync_state, NoNewerRevision()
    match decode_document(latest, update):
        case Err(fault):
            return after_fault(sync_state, update), UpdateRejected(fault)
        case Ok(document):
            newer = DocumentRevision(update.revision, update.digest, document)
            sync_state = replace(
                sync_state,
                latest=newer,
                needs_full_document=False,
                mismatched_digest='',
            )
            return with_proof(
                sync_state, update, requested_at
            ), RevisionApplied(newer)


def after_fault(sync_state: SyncState, update: ConfigurationNews) -> SyncState:
    """Return the state after an update that could not be applied.

    Of two revisions in quick succession, the second is sent as a delta to the
    one that this VM was last known to hold, which may be older than the one it
    holds by then. The next request states that one, so its reply is a delta
    that applies. The full document is requested only if that fails, too.
    """
    latest = sync_state.latest
    is_other_base = (
        latest is not None
        and bool(update.base_digest)
        and update.base_digest != latest.digest
    )
    if is_other_base and sync_state.mismatched_digest != latest.digest:
        return replace(sync_state, mismatched_digest=latest.digest)
    return replace(sync_state, needs_full_document=True)


def may_start_with(
    sync_state: SyncState,
    update: ConfigurationNews,
    requested_at: float | None,
    from_peer: bool,
) -> bool:
    """Return whether a VM without a revision may start with this one.

    Before a restart without a disk the VM may have reported a newer revision
    as applied. A lagging control replica would bring it back to an older one,
    and it would serve by rules that an accepted manifest has replaced. So the
    revision must include every commit before the restart, or be active on a
    VM of the region, for which acceptances wait in the same way.
    """
    if sync_state.latest is not None or from_peer:
        return True
    if requested_at is None:
        return False
    if requested_at - sync_state.started_at >= sync_state.unproven_after_s:
        return True
    if update.quorum_age_s < 0:
        return False
    return requested_at - update.quorum_age_s >= sync_state.started_at


def with_proof(
    sync_state: SyncState,
    update: ConfigurationNews,
    requested_at: float | None,
) -> SyncState:
    """Return the state with the proof of a quorum of an update."""
    if requested_at is None or update.quorum_age_s < 0:
        return sync_state
    proof_at = max(sync_state.proof_at, requested_at - update.quorum_age_s)
    return replace(sync_state, proof_at=proof_at)


def decode_document(
    latest: DocumentRevision | None,
    update: ConfigurationNews,
) -> Result[Document, DocumentFault]:
    """Return the document that an update yields, and check its digest."""
    decoded = decode_body(latest, update)
    if isinstance(decoded, Ok):
        found = digest_of(decoded.ok_value)
        if found != update.digest:
            return Err(DigestMismatch(update.digest, found))
    return decoded


def decode_body(
    latest: DocumentRevision | None,
    update: ConfigurationNews,
) -> Result[Document, DocumentFault]:
    """Read the full document, or apply the delta to the latest one."""
    if not update.base_digest:
        return unpack_document(update.body)
    found = '' if latest is None else latest.digest
    if latest is None or found != update.base_digest:
        return Err(DigestMismatch(update.base_digest, found))
    return unpack(update.body).and_then(
        lambda delta: patch(latest.document, delta)
    )
