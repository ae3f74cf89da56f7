"""A replica without its disk looks for the leader of its cluster."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from godwitshunt.consensus.contacts import LIFETIME_S, MAX_CONTACTS, Contacts
from godwitshunt.consensus.gen.wire import ttypes as wire
from godwitshunt.consensus.joiner import JOIN_TIMEOUT_S, Joiner
from godwitshunt.consensus.members import ReplicaId
from godwitshunt.consensus.status import Identity
from godwitshunt.peer import NotSent, encode
from godwitshunt.settings import Address


def address(number):
    """Return a VM's peer address."""
    return Address(host=f'10.0.0.{number}', port=7660)


OWN, FIRST, SECOND = address(1), address(2), address(3)
LEADER, GONE = address(4), address(5)


class FakeLinks:
    """Answers requests to join from a table; others time out.

    Parameters
    ----------
    replies : dict
        Replies by address.
    """

    def __init__(self, replies):
        self.replies = replies
        self.asked = []

    async def call(self, address, kind, body, timeout_s):
        """Return the reply of a VM."""
        self.asked.append(address)
        await asyncio.sleep(0)
        reply = self.replies.get(address)
        if reply is not None:
            return Ok(encode(reply))
        await asyncio.sleep(timeout_s)
        return Err(NotSent(str(address), 'refused'))


def make_joiner(replies, known):
    """Return a joiner whose settings name some VMs, and its links."""
    links = FakeLinks(replies)
    consensus = SimpleNamespace(
        identity=lambda: Identity(ReplicaId('vm-1', 'a'), unused=True),
        options=SimpleNamespace(address=OWN),
        replica=SimpleNamespace(state=SimpleNamespace(heard_s=0.0)),
    )
    timer = SimpleNamespace(now=lambda: 1.0)
    return Joiner(consensus, lambda: known, links, timer), links


def knows_nobody():
    """Return the reply of a VM that lost its disk, too."""
    return wire.JoinReply(leads=False, contacts=[])


def names(*addresses, leader=None):
    """Return the reply of a VM that names others."""
    return wire.JoinReply(
        leads=False,
        host=None if leader is None else leader.host,
        port=None if leader is None else leader.port,
        contacts=[wire.PeerAddress(one.host, one.port) for one in addresses],
    )


LEADS = wire.JoinReply(leads=True, contacts=[])


@pytest.mark.parametrize('known', [(FIRST, SECOND), (SECOND, FIRST)])
@pytest.mark.parametrize(
    'informed',
    [
        names(LEADER),
        names(GONE, LEADER),
        # A VM of the version before names the leader alone.
        wire.JoinReply(leads=False, host=LEADER.host, port=LEADER.port),
    ],
    ids=['members', 'one of them gone', 'leader only'],
)
async def test_a_reply_that_names_nobody_hides_no_leader(known, informed):
    """Two seeds lost their disks, and the leader is no seed.

    The seed without a disk answered last in each round, and its reply erased
    the leader that the other one had named: neither ever joined again.
    """
    replies = {FIRST: informed, SECOND: knows_nobody(), LEADER: LEADS}
    joiner, links = make_joiner(replies, known)
    await joiner.join()
    assert LEADER in links.asked


async def test_a_leader_that_was_named_is_asked_in_the_same_round():
    """A VM that is gone used up the round before the leader was asked."""
    replies = {FIRST: names(LEADER), LEADER: LEADS}
    joiner, links = make_joiner(replies, (GONE, FIRST))
    async with asyncio.timeout(JOIN_TIMEOUT_S / 2):
        await joiner.join()
    assert links.asked[-1] == LEADER


async def test_a_named_contact_is_asked_once_its_teller_is_gone():
    """The seed that knew the leader is lost before it could be reached."""
    joiner, links = make_joiner({FIRST: names(LEADER)}, (FIRST,))
    await joiner.join()
    links.replies = {LEADER: LEADS}
    links.asked.clear()
    await joiner.join()
    assert LEADER in links.asked


async def test_a_malformed_reply_ends_no_round():
    """One VM with another version kept a replica from asking the others."""
    joiner, links = make_joiner(
        {FIRST: wire.JoinRequest(), SECOND: names(LEADER), LEADER: LEADS},
        (FIRST, SECOND),
    )
    await joiner.join()
    assert LEADER in links.asked


def test_contacts_expire():
    """Replicas that look for a leader would name VMs that are gone for ever."""
    contacts = Contacts()
    contacts.note_named((GONE,), 0.0)
    contacts.note_named((LEADER,), 1.0)
    contacts.note_answer(LEADER, 1.0)
    assert contacts.named(LIFETIME_S) == (LEADER, GONE)
    assert contacts.named(LIFETIME_S + 1) == (LEADER,)
    assert contacts.answering(LIFETIME_S + 1) == (LEADER,)
    assert contacts.answering(LIFETIME_S + 2) == ()


def test_contacts_are_bounded():
    """A reply with endless addresses would be asked without end."""
    contacts = Contacts()
    many = [address(number) for number in range(1, MAX_CONTACTS + 10)]
    contacts.note_named(many, 0.0)
    assert len(contacts.named(0.0)) == MAX_CONTACTS
