"""Servers of the soak: brittle, partitionable, crashing, and stuttering."""

import asyncio
from dataclasses import dataclass
from random import Random

from tests.brittle_server import BrittleServer
from tests.crashing_parts import is_bad_prompt
from tests.limited_server import WORKS_S
from tests.stuttering_server import StutteringServer

CRASHES_AFTER_S = 0.05
REPEATED_SHARES = (0.2, 0.6)
UNFRAMED_SHARES = (0.0, 1 / 3, 2 / 3)


@dataclass
class SoakServer(BrittleServer, StutteringServer):
    """A server whose answers name their request, with all the soak's faults.

    Parameters
    ----------
    bad_arrived : int
        Requests with a bad part that reached it.
    """

    repeated_share: float = 0.0
    bad_arrived: int = 0

    async def answer(self, reader, writer, head, fields, body):
        """Answer a request; crash under a bad part."""
        is_mine = fields.get('expect-instance') == self.instance
        if not (is_mine and is_bad_prompt(fields.get('prefix-hash', ''))):
            await super().answer(reader, writer, head, fields, body)
            return
        self.bad_arrived += 1
        self.ran.append(fields['attempt-id'])
        started = self.instance
        await asyncio.sleep(CRASHES_AFTER_S)
        if self.instance == started:
            self.fall()

    def stutter(self, draw):
        """Repeat answers from now on, some without their ids."""
        self.random = Random(draw.getrandbits(32))
        self.repeated_share = draw.uniform(*REPEATED_SHARES)
        self.unframed_share = draw.choice(UNFRAMED_SHARES)
        self.repeats_unframed = draw.choice((True, False))
        self.names_repeated = draw.choice((True, False))
        # A late second answer falls into the next one only where this follows
        # at once.
        self.works_s = draw.choice((0.0, WORKS_S))

    def answer_once(self):
        """Answer each request once from now on, with a length or chunks."""
        self.repeated_share = 0.0
        self.unframed_share = 0.0
        self.works_s = WORKS_S
