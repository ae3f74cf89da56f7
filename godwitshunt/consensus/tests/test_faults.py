"""Faults of VMs, disks and links, as steps on virtual time."""

import copy
import itertools

import pytest

from godwitshunt.consensus import events as ev
from godwitshunt.consensus import failures
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.messages import AppendReply, Header, VoteRequest
from godwitshunt.consensus.state import Role
from godwitshunt.consensus.tests.cluster import ADDRESS, Cluster


def stops(cluster: Cluster) -> list[str]:
    """Return the nodes that are stopped."""
    return [one.name for one in cluster.nodes.values() if not one.replica]


def refused(cluster: Cluster, number: int) -> type:
    """Return the type of the failure that a request got."""
    return type(cluster.results[number].failure)


@pytest.mark.parametrize('kept_bytes', [0, 9, 1000])
@pytest.mark.parametrize('victim', ['a', 'b'])
@pytest.mark.parametrize('point', range(24))
def test_power_loss_around_each_file_call(point, victim, kept_bytes):
    """A leader or a follower loses power before or after a write or a sync.

    Changes whose commit was told stay, and the cluster goes on.
    """
    cluster = Cluster.started('abc')
    cluster.run([['propose', 'a', 'old'], ['settle', 0.5]])
    cluster.crash_at(victim, point)
    cluster.run(
        [
            ['propose', 'a', 'new'],
            ['settle', 0.3],
            ['snapshot', victim],
            ['settle', 0.3],
            ['propose', 'a', 'next'],
            ['settle', 4.0],
        ],
    )
    told = cluster.payloads()
    for name in stops(cluster):
        cluster.crash(name, kept_bytes)
    cluster.recover()
    assert cluster.payloads()[: len(told)] == told
    assert cluster.payloads()[0] == 'old'


@pytest.mark.parametrize('spoiled', ['drop', 'duplicate'])
@pytest.mark.parametrize('position', range(8))
@pytest.mark.parametrize('newest', [0, -1])
def test_lost_doubled_and_reordered_messages(spoiled, position, newest):
    """The network loses, doubles and reorders messages of a proposal.

    The entries are committed once, in the order of their proposal.
    """
    cluster = Cluster.started('abc')
    texts = [f'p{number}' for number in range(6)]
    for text in texts:
        cluster.run([['propose', 'a', text], [spoiled, position]])
        for _ in range(3):
            cluster.run([['deliver', newest]])
    for _ in range(60):
        cluster.run([['deliver', newest]])
    cluster.run([['settle', 1.0]])
    assert cluster.payloads() == texts


def test_late_append_cuts_no_later_entries():
    """A repeated message comes after newer ones that followed it.

    The follower has answered for the newer entries, and must keep them.
    """
    cluster = Cluster.started('abc')
    cluster.run([['cut', 'b', 'a'], ['cut', 'c', 'a'], ['propose', 'a', '1']])
    late = tuple(cluster.under_way)
    cluster.run([['deliver_all'], ['propose', 'a', '2'], ['deliver_all']])
    log = cluster.nodes['b'].replica.state.log
    last = log.last_index
    cluster.under_way.extend(late)
    cluster.run([['deliver_all']])
    assert log.last_index == last


@pytest.mark.parametrize(
    'cuts',
    [
        *itertools.combinations(itertools.permutations('abc', 2), 1),
        *itertools.combinations(itertools.permutations('abc', 2), 2),
    ],
)
def test_one_way_cuts(cuts):
    """One or two directions of links fail, each towards one VM only.

    While some VM can talk with another both ways, changes are committed.
    """
    cluster = Cluster.started('abc')
    for sender, receiver in cuts:
        cluster.cut(sender, receiver)
    cluster.run([['settle', 12.0]])
    assert cluster.leader() is not None
    cluster.run([['propose', cluster.leader(), 'x'], ['settle', 1.0]])
    assert cluster.payloads() == ['x']
    cluster.recover()


def test_isolated_replica_deposes_nobody_on_its_return():
    """A replica is cut off for long, and comes back.

    Operators notice nothing: the leader goes on in its term.
    """
    cluster = Cluster.started('abc')
    term = cluster.nodes['a'].replica.state.term
    cluster.run([['isolate', 'c'], ['settle', 30.0], ['heal']])
    cluster.run([['settle', 3.0]])
    assert cluster.leader() == 'a'
    assert {n.replica.state.term for n in cluster.nodes.values()} == {term}


def test_isolated_leader_steps_down_and_says_nothing_current():
    """A leader is cut off silently.

    Within an election timeout it refuses reads, proposals and orders, while
    the others elect a leader. On its return it follows.
    """
    cluster = Cluster.started('abc')
    cluster.run([['propose', 'a', 'one'], ['settle', 0.5], ['isolate', 'a']])
    lost = cluster.propose('a', 'lost')
    node = cluster.nodes['a']
    while node.replica.lease_remaining_s(cluster.now_s(node)) > 0:
        cluster.run([['advance', 0.01]])
    early = cluster.propose('a', 'early')
    read = cluster.read('a')
    cluster.run([['settle', 0.2]])
    assert node.replica.state.role is Role.follower
    assert node.replica.quorum_age_s(cluster.now_s(node)) > 1
    late = cluster.propose('a', 'late')
    assert refused(cluster, early) is failures.NoQuorum
    assert refused(cluster, read) is failures.NotLeader
    assert refused(cluster, late) is failures.NotLeader
    cluster.run([['settle', 4.0]])
    cluster.run([['propose', cluster.leader(), 'two'], ['settle', 0.5]])
    cluster.run([['heal'], ['settle', 2.0]])
    assert cluster.payloads() == ['one', 'two']
    assert lost in cluster.accepted
    assert node.applied == cluster.nodes['b'].applied


def test_frozen_leader_has_no_lease_when_it_wakes():
    """A leader's VM stands still past its lease, and is woken.

    Reads and orders that were under way there are refused or wait for a
    quorum, which now follows another leader.
    """
    cluster = Cluster.started('abc')
    cluster.run([['freeze', 'a'], ['settle', 4.0]])
    other = cluster.leader()
    cluster.run([['propose', other, 'new'], ['settle', 0.5], ['thaw', 'a']])
    node = cluster.nodes['a']
    assert node.replica.state.role is Role.leader
    assert not node.replica.lease_remaining_s(cluster.now_s(node))
    read = cluster.read('a')
    cluster.run([['settle', 1.0]])
    assert refused(cluster, read) is failures.NotLeader
    assert cluster.leader() == other


@pytest.mark.parametrize('seed', range(6))
def test_restarted_voter_waits_out_the_lease_that_it_granted(seed):
    """A voter answers a leader, restarts at once, and is asked for a vote.

    It has forgotten the answer; if it voted, the old leader would hold a
    lease beside the new one, and both could order upstreams.
    """
    cluster = Cluster.started('abc', seed=seed)
    cluster.run([['cut', 'a', 'c'], ['cut', 'c', 'a'], ['settle', 0.7]])
    cluster.run([['isolate', 'a'], ['crash', 'b'], ['restart', 'b']])
    for _ in range(100):
        cluster.run([['advance', 0.05], ['tick', 'c'], ['deliver_all']])
    assert cluster.leader() == 'c'


def test_fast_clock_of_a_voter_does_not_outrun_the_lease():
    """The clock of a voter runs 5% fast, as far as the stated drift allows.

    Its election timeout ends early for the leader; the lease, shortened by
    the drift, has ended before.
    """
    cluster = Cluster.started('abc', rates={'b': 1.05, 'c': 1.05})
    cluster.run([['settle', 1.0], ['advance', 0.2], ['tick', 'a']])
    cluster.run([['deliver_all'], ['isolate', 'a']])
    state = cluster.nodes['b'].replica.state
    state.election_due_s = state.heard_s + state.options.election_timeout_s
    for _ in range(400):
        cluster.run([['advance', 0.005], ['tick', 'b'], ['tick', 'c']])
        cluster.run([['deliver_all']])
    assert cluster.leader() == 'b'


def test_follower_gives_no_vote_while_it_hears_a_leader():
    """One link fails: a follower hears nothing of the leader, another does.

    The one that hears it does not help to depose it.
    """
    cluster = Cluster.started('abc')
    cluster.run([['cut', 'a', 'c'], ['cut', 'c', 'a'], ['settle', 9.0]])
    assert cluster.leader() == 'a'
    assert list(cluster.leaders.values())[-1].name == 'a'


def test_late_heartbeat_does_not_make_old_proof_look_new():
    """A heartbeat is held up on its way to a follower for seconds.

    The follower must count its quorum proof as old; else a VM would hold
    itself connected while the majority has gone on without it.
    """
    cluster = Cluster.started('abc')
    cluster.run([['settle', 1.0], ['advance', 0.3], ['tick', 'a']])
    held = [one for one in cluster.under_way if one[1] == 'b']
    assert held
    cluster.under_way.clear()
    cluster.run([['isolate', 'b'], ['advance', 5.0]])
    cluster.heal()
    cluster.under_way.extend(held)
    cluster.deliver_all()
    node = cluster.nodes['b']
    age_s = node.replica.quorum_age_s(cluster.now_s(node))
    assert 5 < age_s < 6


@pytest.mark.parametrize('second', ['a', 'c'])
@pytest.mark.parametrize('disk_lost', [False, True])
@pytest.mark.parametrize('order', ['remove promote', 'promote remove'])
def test_second_voter_fails_right_after_a_lost_folder_was_repaired(
    second,
    disk_lost,
    order,
):
    """A voter's folder is lost, it is repaired, and a second voter fails.

    Nothing that was committed is lost, and the cluster still commits.
    """
    cluster = Cluster.started('abc')
    cluster.run([['propose', 'a', 'one'], ['settle', 0.5]])
    cluster.run([['lose_folder', 'b'], ['restart', 'b'], ['settle', 3.0]])
    assert cluster.nodes['b'].replica.state.log.last_index == 0
    early = cluster.change('a', 'promote', 'b')
    assert refused(cluster, early) is failures.UnknownMember
    cluster.run([['propose', 'a', 'two'], ['change', 'a', 'add', 'b']])
    early = cluster.change('a', 'promote', 'b')
    assert refused(cluster, early) is failures.ChangeUnderway
    cluster.run([['settle', 0.5]])
    for kind in order.split():
        member = 'b/1' if kind == 'remove' else 'b/2'
        cluster.run([['change', 'a', kind, member], ['deliver_all']])
    assert sorted(cluster.voters()) == ['a/1', 'b/2', 'c/1']
    cluster.run([['lose_folder' if disk_lost else 'crash', second]])
    cluster.run([['settle', 6.0]])
    cluster.run([['propose', cluster.leader(), 'three'], ['settle', 1.0]])
    assert cluster.payloads() == ['one', 'two', 'three']
    cluster.recover()


def test_empty_folder_never_votes_and_starts_no_cluster():
    """Two of three folders are lost, and the VMs start with empty ones.

    They must not elect anybody: what they had promised is gone, and with it
    maybe the only copies of a committed change. The cluster waits.
    """
    cluster = Cluster.started('abc')
    cluster.run([['isolate', 'c'], ['propose', 'a', 'one'], ['settle', 0.5]])
    cluster.run([['lose_folder', 'a'], ['lose_folder', 'b'], ['heal']])
    cluster.run([['restart', 'a'], ['restart', 'b'], ['settle', 20.0]])
    assert cluster.leader() is None
    assert cluster.nodes['c'].replica.state.role is not Role.leader


def test_unused_folder_refuses_a_vote_that_names_it():
    """A candidate asks a VM that has just got an empty disk for its vote.

    Counted, the vote could elect a leader without committed changes.
    """
    cluster = Cluster.started('abc')
    cluster.run([['lose_folder', 'b'], ['restart', 'b'], ['settle', 3.0]])
    replica = cluster.nodes['b'].replica
    header = Header(9, ReplicaId('c', '1'), replica.identity)
    for pre_vote in (True, False):
        request = VoteRequest(header, 99, 8, pre_vote)
        sent = replica.step(ev.Received(request), 1100)
        assert not sent[0].message.granted


def test_vote_is_remembered_over_a_restart():
    """A voter restarts after its vote, and another candidate asks it.

    A second vote in the term could elect a second leader.
    """
    cluster = Cluster.started('abc')
    node = cluster.nodes['b']
    granted = []
    for candidate in 'cac':
        cluster.run([['isolate', 'a'], ['advance', 1.5]])
        asker = ReplicaId(candidate, '1')
        header = Header(9, asker, node.replica.identity)
        request = VoteRequest(header, 99, 8, pre_vote=False)
        cluster.step(node, ev.Received(request))
        granted.append(node.replica.state.voted_for == asker)
        cluster.run([['crash', 'b'], ['restart', 'b']])
    assert granted == [True, False, True]


@pytest.mark.parametrize('point', range(4))
def test_power_loss_while_a_vote_is_saved(point):
    """A voter loses power while it saves its vote, and forgets it.

    The vote must not have left before: asked again by another candidate it
    would help to elect a second leader of the same term.
    """
    cluster = Cluster.started('abc')
    cluster.run([['crash', 'a'], ['advance', 2.5], ['tick', 'b']])
    for _ in range(4):
        cluster.run([['deliver', 0]])
    cluster.run([['crash_at', 'c', point], ['deliver', 0], ['deliver', 0]])
    cluster.run([['crash', 'c'], ['isolate', 'b'], ['restart', 'a']])
    cluster.run([['restart', 'c'], ['settle', 6.0]])
    assert cluster.leader() in {'a', 'c'}
    cluster.recover()


def test_learner_is_not_counted_before_it_is_promoted():
    """Two learners have an entry that no second voter has.

    If they were counted, the loss of the leader would lose a told commit.
    """
    cluster = Cluster.started('abc', 'de')
    cluster.run([['change', 'a', 'add', 'd'], ['settle', 0.5]])
    cluster.run([['change', 'a', 'add', 'e'], ['settle', 0.5]])
    cluster.run([['isolate', 'b'], ['isolate', 'c']])
    cluster.run([['propose', 'a', 'x'], ['deliver_all']])
    assert not cluster.payloads()
    ends = {cluster.nodes[one].replica.state.log.last_index for one in 'ade'}
    assert len(ends) == 1


def test_own_copy_counts_only_once_it_is_synced():
    """A follower answers before the leader's own disk has synced.

    The commit waits: a crash of the follower could else leave no copy.
    """
    cluster = Cluster.started('ab')
    node = cluster.nodes['a']
    now_s = cluster.now_s(node)
    node.replica.step(ev.Proposed(((1, b'x'),)), now_s)
    log = node.replica.state.log
    header = Header(log.last_term, ReplicaId('b', '1'), node.replica.identity)
    answer = AppendReply(header, True, log.last_index, now_s)
    assert not node.replica.step(ev.Received(answer), now_s)
    synced = ev.Synced(log.last_index, log.last_term)
    assert isinstance(node.replica.step(synced, now_s)[0], ev.Apply)


def until_leads(cluster: Cluster, name: str, other: str) -> None:
    """Tick two nodes and deliver one message after another."""
    for _ in range(300):
        if cluster.leader() == name:
            return
        cluster.run([['deliver', 0]])
        if not cluster.under_way:
            cluster.run([['advance', 0.1], ['tick', name], ['tick', other]])
    raise AssertionError(name)


def test_entry_of_an_earlier_term_is_not_committed_by_its_copies():
    """Leaders change twice while an old entry is on its way (Raft, figure 8).

    The entry stands on a majority, and another leader still replaces it. If
    it had been told as committed, an accepted change would be reverted.
    """
    cluster = Cluster.started('abc')
    cluster.run([['isolate', 'a'], ['propose', 'a', 'x' * 70]])
    cluster.run([['crash', 'a'], ['heal'], ['advance', 1.0]])
    until_leads(cluster, 'b', 'b')
    cluster.under_way.clear()
    cluster.run([['isolate', 'b'], ['restart', 'a'], ['advance', 1.0]])
    until_leads(cluster, 'a', 'a')
    old = cluster.nodes['a'].replica.state.first_own_index - 1
    progress = cluster.nodes['a'].replica.state.progress
    while max(one.match_index for one in progress.values()) < old:
        cluster.run([['deliver', 0]])
    cluster.under_way.clear()
    cluster.run([['crash', 'a'], ['heal'], ['settle', 5.0], ['restart', 'a']])
    cluster.run([['settle', 2.0]])
    assert cluster.nodes['b'].replica.state.log.term_at(old) == 3
    assert not cluster.payloads()


def test_lease_counts_from_when_the_answered_message_was_sent():
    """Answers to a heartbeat are held up for most of an election timeout.

    The followers' promise began before; the lease must not begin at the
    answers' arrival, or it would outlive the promise.
    """
    cluster = Cluster.started('abc')
    cluster.run([['advance', 0.3], ['tick', 'a'], ['deliver', 0]])
    cluster.run([['deliver', 0], ['advance', 0.8], ['deliver_all']])
    node = cluster.nodes['a']
    remaining_s = node.replica.lease_remaining_s(cluster.now_s(node))
    assert 0 < remaining_s * 1000 < 160


def test_learner_that_lags_is_not_promoted():
    """An operator promotes a learner that has not the log yet.

    The promotion is refused with the number of entries that it lacks.
    """
    cluster = Cluster.started('abc', 'd')
    cluster.run([['isolate', 'd'], ['change', 'a', 'add', 'd']])
    cluster.run([['propose', 'a', 'x'], ['settle', 0.5]])
    number = cluster.change('a', 'promote', 'd')
    assert cluster.results[number].failure.missing > 0
    cluster.run([['heal'], ['settle', 0.5], ['isolate', 'd']])
    cluster.run([['settle', 1.5]])
    number = cluster.change('a', 'promote', 'd')
    assert cluster.results[number].failure == failures.NotCaughtUp(0)


def test_voter_changes_come_one_at_a_time():
    """Two operators change the members at once.

    The second change is refused until the first is committed, also while a
    new leader has not committed an entry of its own.
    """
    cluster = Cluster.started('abc', 'de')
    cluster.change('a', 'add', 'd')
    second = cluster.change('a', 'add', 'e')
    assert refused(cluster, second) is failures.ChangeUnderway
    cluster.run([['settle', 0.5], ['freeze', 'a']])
    for _ in range(100):
        cluster.run([['advance', 0.1], ['tick', 'b'], ['tick', 'c']])
        while cluster.leader() is None and cluster.under_way:
            cluster.run([['deliver', 0]])
        if cluster.leader() is not None:
            break
    number = cluster.change(cluster.leader(), 'add', 'e')
    assert refused(cluster, number) is failures.ChangeUnderway


@pytest.mark.parametrize(
    ('kind', 'member', 'kind_of_failure'),
    [
        ('add', 'b', failures.AlreadyMember),
        ('remove', 'd', failures.UnknownMember),
        ('promote', 'b', failures.UnknownMember),
        ('remove', 'b', failures.QuorumWouldBeLost),
    ],
)
def test_unwise_changes_are_refused(kind, member, kind_of_failure):
    """An operator names the wrong replica, or removes one too many."""
    cluster = Cluster.started('abc', 'd')
    cluster.run([['crash', 'c'], ['settle', 2.0]])
    number = cluster.change('a', kind, member)
    assert refused(cluster, number) is kind_of_failure
    alone = Cluster.started('a')
    number = alone.change('a', 'remove', 'a')
    assert refused(alone, number) is failures.LastVoter


@pytest.mark.parametrize('spoiled', ['drop', 'duplicate', 'none'])
@pytest.mark.parametrize('crashed', [None, 0, 3, 6, 9])
def test_snapshot_reaches_a_replica_whose_entries_are_gone(spoiled, crashed):
    """A replica was down until its entries were compacted everywhere.

    It gets the snapshot in parts, through losses and a crash of its own.
    """
    cluster = Cluster.started('abc')
    cluster.crash('c')
    for number in range(20):
        cluster.run([['propose', 'a', f'p{number}'], ['settle', 0.2]])
    cluster.run([['snapshot', 'a'], ['snapshot', 'b'], ['restart', 'c']])
    if crashed is not None:
        cluster.crash_at('c', crashed)
    for _ in range(20):
        cluster.run([['advance', 0.1], ['tick', 'a'], ['tick', 'b']])
        if spoiled != 'none':
            cluster.run([[spoiled, 1]])
        cluster.run([['deliver', 1], ['deliver', 0], ['deliver', 0]])
    cluster.recover()
    assert cluster.nodes['c'].applied == cluster.nodes['a'].applied
    assert len(cluster.nodes['c'].applied) == 21


def test_corrupt_replica_stops_and_comes_back_as_another():
    """A disk changes a byte under a voter.

    It does not start; after its folder is moved away it joins as new.
    """
    cluster = Cluster.started('abc')
    cluster.run([['propose', 'a', 'x'], ['settle', 0.5]])
    cluster.run([['corrupt', 'b', 'log', 60], ['restart', 'b']])
    assert cluster.is_corrupt('b')
    cluster.run([['settle', 3.0], ['lose_folder', 'b'], ['restart', 'b']])
    cluster.run([['change', 'a', 'add', 'b'], ['settle', 0.5]])
    cluster.run([['change', 'a', 'remove', 'b/1'], ['settle', 0.5]])
    cluster.run([['change', 'a', 'promote', 'b'], ['settle', 0.5]])
    assert sorted(cluster.voters()) == ['a/1', 'b/2', 'c/1']


def test_only_an_unused_folder_starts_a_cluster():
    """An operator initialises a second time.

    The replica keeps the log that it has.
    """
    cluster = Cluster.started('abc')
    last = cluster.nodes['b'].replica.state.log.last_index
    cluster.step(cluster.nodes['b'], ev.ClusterStarted(ADDRESS))
    assert cluster.nodes['b'].replica.state.log.last_index == last


def test_disk_that_lost_synced_entries_starts_no_storm():
    """A disk comes back with an older state of the folder, as from a backup.

    The leader counts on entries that are gone. It must not send and be
    refused in a circle at the speed of the network.
    """
    cluster = Cluster.started('abc')
    older = copy.deepcopy(cluster.nodes['b'].files)
    cluster.run([['propose', 'a', 'x'], ['settle', 0.5], ['crash', 'b']])
    cluster.nodes['b'].files = older
    older.lose_power()
    cluster.run([['restart', 'b'], ['propose', 'a', 'y'], ['settle', 2.0]])
    assert not cluster.under_way
    assert cluster.payloads() == ['x', 'y']
