"""Replies over peer links complete the calls that they number."""

import asyncio

import pytest

from godwitshunt.peer import OutcomeUnknown
from godwitshunt.peer.tests.test_links import KIND, started_links

LATER_S = 0.03


def repeat_replies(server) -> None:
    """Let a process reply twice to each call, the second time late."""
    handle = server.handle_message

    async def handle_twice(writer, sender, envelope):
        await handle(writer, sender, envelope)
        await asyncio.sleep(LATER_S)
        await handle(writer, sender, envelope)

    server.handle_message = handle_twice


async def echo(sender: str, body: bytes) -> bytes:
    """Reply with the body of the call."""
    return body


async def test_repeated_replies_complete_no_other_call():
    """A claim would be granted by the reply to another one."""
    async with started_links('a') as caller, started_links('b') as server:
        server.subscribe(KIND, echo)
        repeat_replies(server)
        address = server.options.listen
        for number in range(20):
            body = str(number).encode()
            reply = await caller.call(address, KIND, body, 5)
            assert reply.ok_value == body
            await asyncio.sleep(LATER_S / 10)


@pytest.mark.parametrize(
    ('is_wanted', 'passed_on'), [(True, [b'slow']), (False, [])]
)
async def test_a_late_reply_is_passed_on_once_and_to_no_other_call(
    is_wanted, passed_on
):
    """The caller has given up and asks something else on the same link."""
    late = []
    async with started_links('a') as caller, started_links('b') as server:

        async def reply_slowly(sender: str, body: bytes) -> bytes:
            await asyncio.sleep(LATER_S if body == b'slow' else 0)
            return body

        server.subscribe(KIND, reply_slowly)
        repeat_replies(server)
        address = server.options.listen
        await caller.call(address, KIND, b'first', 5)
        on_late = late.append if is_wanted else None
        given_up = await caller.call(address, KIND, b'slow', 0.005, on_late)
        assert isinstance(given_up.err_value, OutcomeUnknown)
        for number in range(10):
            body = str(number).encode()
            reply = await caller.call(address, KIND, body, 5)
            assert reply.ok_value == body
            await asyncio.sleep(LATER_S / 2)
        assert late == passed_on
        assert not caller.link(address).pending
