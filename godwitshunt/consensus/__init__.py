"""A replicated log (Raft) as a pure state machine, its storage and its task.

`Replica` turns events into actions and can be embedded without the rest;
`ConsensusTask` carries the actions out on a data folder and peer links.
"""

from godwitshunt.consensus.bootstrap import bootstrap
from godwitshunt.consensus.events import Action, Event
from godwitshunt.consensus.failures import (
    AlreadyInitialised,
    AlreadyMember,
    BootstrapFailure,
    ChangeFailure,
    ChangeUnderway,
    CommitUnknown,
    EntryTooLarge,
    LastVoter,
    NoQuorum,
    NotCaughtUp,
    NotLeader,
    ProposalFailure,
    QuorumWouldBeLost,
    StorageFailed,
    UnknownMember,
    Unreachable,
)
from godwitshunt.consensus.files import DiskFileSystem, FileSystem
from godwitshunt.consensus.folder import DataFolder
from godwitshunt.consensus.members import Member, Membership, ReplicaId
from godwitshunt.consensus.options import ConsensusOptions
from godwitshunt.consensus.replica import Replica
from godwitshunt.consensus.state import ReplicaOptions, Role
from godwitshunt.consensus.status import (
    Committed,
    Identity,
    Leadership,
    MemberStatus,
)
from godwitshunt.consensus.stored import StoredState
from godwitshunt.consensus.task import ConsensusTask

__all__ = [
    'Replica',
    'ReplicaOptions',
    'ReplicaId',
    'Role',
    'Event',
    'Action',
    'StoredState',
    'DataFolder',
    'FileSystem',
    'DiskFileSystem',
    'ConsensusTask',
    'ConsensusOptions',
    'bootstrap',
    'Committed',
    'Identity',
    'Leadership',
    'Member',
    'Membership',
    'MemberStatus',
    'ProposalFailure',
    'ChangeFailure',
    'BootstrapFailure',
    'NotLeader',
    'NoQuorum',
    'EntryTooLarge',
    'CommitUnknown',
    'StorageFailed',
    'ChangeUnderway',
    'NotCaughtUp',
    'UnknownMember',
    'AlreadyMember',
    'LastVoter',
    'QuorumWouldBeLost',
    'AlreadyInitialised',
    'Unreachable',
]
