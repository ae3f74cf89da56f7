"""Refusals to operators as problem details (RFC 9457)."""

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from godwitshunt.configuration.commands import (
    EvacuationSuperseded,
    NumberConflict,
    NumberTooOld,
    OrderConflict,
)
from godwitshunt.consensus import (
    AlreadyInitialised,
    AlreadyMember,
    ChangeUnderway,
    CommitUnknown,
    EntryTooLarge,
    LastVoter,
    NoQuorum,
    NotCaughtUp,
    NotLeader,
    QuorumWouldBeLost,
    StorageFailed,
    UnknownMember,
    Unreachable,
)
from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.problems import TYPE_PREFIX

SUPERSEDED = 'superseded'


@dataclass(frozen=True)
class OperatorProblem:
    """A refused call.

    Parameters
    ----------
    slug : str
        Last part of the problem type URI.
    outcome : str
        ``not-run`` if nothing was changed, else ``unknown``.
    extra : dict
        Further members of the problem document.
    """

    slug: str
    status: int
    detail: str
    outcome: str = 'not-run'
    extra: dict[str, Any] = field(default_factory=dict)

    def document(self) -> dict[str, Any]:
        """Return the problem document."""
        return {
            'type': TYPE_PREFIX + self.slug,
            'title': self.slug.replace('-', ' '),
            'status': self.status,
            'detail': self.detail,
            'outcome': self.outcome,
            **self.extra,
        }

    def body(self) -> bytes:
        """Return the problem document as JSON."""
        return json.dumps(self.document()).encode()


def invalid_document(invalid: DocumentError) -> OperatorProblem:
    """Return the problem that lists every invalid field."""
    problems = [asdict(problem) for problem in invalid.problems]
    return OperatorProblem(
        'invalid-document',
        400,
        str(invalid),
        extra={'problems': problems},
    )


def problem_of(failure: object) -> OperatorProblem:
    """Return the problem for a typed failure."""
    known = command_problem(failure) or log_problem(failure)
    if known is not None:
        return known
    known = cluster_problem(failure)
    if known is not None:
        return known
    return OperatorProblem('failed', 500, repr(failure), 'unknown')


def command_problem(failure: object) -> OperatorProblem | None:
    """Return the problem for an outcome of the control state."""
    match failure:
        case NumberConflict():
            return conflict_problem(failure)
        case NumberTooOld(number, oldest_known):
            return OperatorProblem(
                'number-too-old',
                410,
                f'answers for numbers below {oldest_known} are not kept',
                extra={'number': number, 'oldest_known': oldest_known},
            )
        case EvacuationSuperseded(failure_domain, revision):
            return OperatorProblem(
                SUPERSEDED,
                503,
                f'{failure_domain} was changed after this was read',
                extra={'revision': revision},
            )
        case OrderConflict(order):
            return OperatorProblem(
                'order-conflict',
                409,
                f'the name {order} belongs to another order',
            )
    return None


def log_problem(failure: object) -> OperatorProblem | None:
    """Return the problem for a proposal that was not committed."""
    match failure:
        case NotLeader(leader):
            return OperatorProblem(
                'not-leader',
                503,
                'this replica does not lead',
                extra={'leader': leader},
            )
        case NoQuorum(quorum_age_s):
            return OperatorProblem(
                'no-quorum',
                503,
                'the leader has lost touch with a majority of the voters',
                extra={'quorum_age_s': quorum_age_s},
            )
        case CommitUnknown(reason):
            return OperatorProblem('outcome-unknown', 504, reason, 'unknown')
        case StorageFailed(reason):
            return OperatorProblem('storage-failed', 503, reason)
        case EntryTooLarge(size_bytes, limit_bytes):
            return OperatorProblem(
                'too-large',
                413,
                f'{size_bytes} bytes, at most {limit_bytes} can be committed',
            )
    return None


def cluster_problem(failure: object) -> OperatorProblem | None:
    """Return the problem for a failed change of the cluster's replicas."""
    match failure:
        case AlreadyInitialised(replica):
            return OperatorProblem(
                'already-initialised',
                409,
                f'{replica} belongs to a cluster already',
            )
        case NotCaughtUp(missing):
            return OperatorProblem(
                'not-caught-up',
                504,
                f'the new replica still lacks {missing} entries; it stays a '
                'learner until the command is repeated',
                'unknown',
            )
        case Unreachable(address):
            return OperatorProblem(
                'replica-unreachable',
                503,
                f'{address} does not answer',
            )
        case UnknownMember(replica):
            return OperatorProblem(
                'unknown-replica',
                404,
                f'{replica.name} is no voter and no learner',
            )
    return change_problem(failure)


def change_problem(failure: object) -> OperatorProblem | None:
    """Return the problem for a voter change that was not started."""
    match failure:
        case ChangeUnderway():
            return OperatorProblem(
                'change-underway',
                503,
                'another voter change is not committed yet',
            )
        case AlreadyMember(replica):
            return OperatorProblem(
                'already-member',
                409,
                f'{replica.name} is a voter or a learner already',
            )
        case LastVoter(replica):
            return OperatorProblem(
                'last-voter',
                409,
                f'{replica.name} is the only voter',
            )
        case QuorumWouldBeLost(answering, quorum):
            return OperatorProblem(
                'quorum-would-be-lost',
                409,
                f'{answering} of the voters left answer, {quorum} must',
            )
    return None


def conflict_problem(conflict: NumberConflict) -> OperatorProblem:
    """Return the problem that identifies the accepted manifest."""
    return OperatorProblem(
        'number-conflict',
        409,
        f'number {conflict.number}: number {conflict.winner_number} with '
        f'digest {conflict.winner_digest} was accepted',
        extra={
            'number': conflict.number,
            'winner_number': conflict.winner_number,
            'winner_digest': conflict.winner_digest,
            'winner_revision': conflict.winner_revision,
        },
    )
