"""A replicated log (Raft) as a pure state machine, its storage and its task.

`Replica` turns events into actions and can be embedded without the rest;
`ConsensusTask` carries the actions out on a data folder and peer links.
"""

import lazy_loader

# Loaded when first used: a program starts without the parts that it lacks.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        'bootstrap': [
            'bootstrap',
        ],
        'events': [
            'Action',
            'Event',
        ],
        'failures': [
            'AlreadyInitialised',
            'AlreadyMember',
            'BootstrapFailure',
            'ChangeFailure',
            'ChangeUnderway',
            'CommitUnknown',
            'EntryTooLarge',
            'LastVoter',
            'NoQuorum',
            'NotCaughtUp',
            'NotLeader',
            'ProposalFailure',
            'QuorumWouldBeLost',
            'StorageFailed',
            'UnknownMember',
            'Unreachable',
        ],
        'files': [
            'DiskFileSystem',
            'FileSystem',
        ],
        'folder': [
            'DataFolder',
        ],
        'members': [
            'Member',
            'Membership',
            'ReplicaId',
        ],
        'options': [
            'ConsensusOptions',
        ],
        'replica': [
            'Replica',
        ],
        'state': [
            'ReplicaOptions',
            'Role',
        ],
        'status': [
            'Committed',
            'Identity',
            'Leadership',
            'MemberStatus',
        ],
        'stored': [
            'StoredState',
        ],
        'task': [
            'ConsensusTask',
        ],
    },
)
