"""The claimer's task: asks holders before a non-idempotent call runs."""

import asyncio
import secrets
from typing import Self

from result import Err, Ok, Result

from godwitshunt.claims.ballots import Ballot, HolderLinks
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_task import ClaimHolderTask
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import (
    ClaimOutcome,
    Granted,
    KeptAnswer,
    KeyExpired,
    KeyMalformed,
    NoMajority,
    RunUnknown,
)
from godwitshunt.claims.stamps import StampKeeper
from godwitshunt.claims.standing import majority
from godwitshunt.claims.verdicts import Attempt, Finish, Release, Verdict
from godwitshunt.configuration.revision import HolderSet, Revision
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.jobs import Jobs
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer

TELL_TIMEOUT_S = 1.0
TELL_TRIES = 3
TELL_PAUSE_S = 0.2
SESSION_BYTES = 8


class ClaimsTask:
    """Claims keys for this VM's calls, and votes on those of others.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name, region and data folder.
    session : str
        Told in heartbeats, so that control lists it in new holder sets.
    """

    def __init__(
        self,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.timer = timer
        self.metrics = metrics
        self.session = secrets.token_hex(SESSION_BYTES)
        self.holder = ClaimHolderTask.from_config(
            settings.name,
            self.session,
            settings.data_folder,
            links,
            timer,
            metrics,
        )
        self.links = HolderLinks(links, self.holder, timer, metrics)
        self.sets: dict[tuple[str, int], HolderSet] = {}
        self.stamps = StampKeeper(settings, self.links)
        self.granted: dict[str, Attempt] = {}
        self.ballots: set[Ballot] = set()
        self.jobs = Jobs()

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Make the task of an entry VM or of a control VM."""
        return cls(settings, links, timer, metrics)

    async def start(self) -> None:
        """Begin to vote, and follow the epoch of the own region."""
        await self.holder.start()
        peer_links = self.links.links
        peer_links.subscribe(MessageKind.claim_status, self.answer_status)
        self.stamps.start()

    async def close(self) -> None:
        """Stop voting; claims under way are withdrawn by their callers."""
        await self.stamps.close()
        await self.jobs.close()
        await self.links.jobs.close()
        await self.holder.close()

    def apply_revision(self, revision: Revision) -> None:
        """Follow the committed holder sets."""
        self.sets = {
            (one.region, one.generation): one for one in revision.holders
        }
        self.links.addresses = {vm.name: vm.peer for vm in revision.vms}
        self.holder.apply_revision(revision)
        self.stamps.apply_sets(revision.holders)

    def is_recovering(self) -> bool:
        """Return whether this VM abstains in its region's newest set.

        Control commits a new set, with the present sessions, where that
        lasts: too few holders remember for any to recover.
        """
        recovering = self.holder.table.recovering()
        return self.stamps.newest_generation() in recovering

    def stamp(self) -> str | None:
        """Return what keys begin with; None while no epoch is known."""
        return self.stamps.stamp()

    async def claim(
        self,
        key: str,
        request_digest: bytes,
        timeout_s: float,
    ) -> ClaimOutcome:
        """Ask the key's holders whether a call may run.

        Parameters
        ----------
        key : str
            The caller's ``Idempotency-Key``.
        request_digest : bytes
            Digest over what makes two requests the same, at most 32 bytes.
        timeout_s : float
            Seconds to wait, for holders or for another attempt's answer.

        Returns
        -------
        ClaimOutcome
            Only `Granted` allows the call to run; then `finish`,
            `finish_unknown` or `release` must follow.
        """
        found = self.find_set(key)
        if isinstance(found, Err):
            return found.err_value
        parsed, holder_set = found.ok_value
        ballot = Ballot(
            links=self.links,
            vm=self.settings.name,
            key=parsed,
            request_digest=request_digest,
            holders=holder_set.names,
            deadline_s=self.timer.now() + timeout_s,
            withdraw=self.withdraw,
        )
        started_s = self.timer.now()
        self.ballots.add(ballot)
        try:
            outcome = await ballot.run()
        finally:
            self.ballots.discard(ballot)
        elapsed_s = self.timer.now() - started_s
        name = type(outcome).__name__
        self.metrics.observe('claim_seconds', elapsed_s, outcome=name)
        if isinstance(outcome, Granted):
            self.granted[key] = ballot.attempt
        return outcome

    def find_set(
        self,
        key: str,
    ) -> Result[tuple[ClaimKey, HolderSet], ClaimOutcome]:
        """Return the parsed key and its holders, or why there are none."""
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return parsed
        claim_key: ClaimKey = parsed.ok_value
        found = self.sets.get((claim_key.region, claim_key.generation))
        if found is not None:
            return Ok((claim_key, found))
        known = [
            generation
            for region, generation in self.sets
            if region == claim_key.region
        ]
        if not known:
            return Err(KeyMalformed())
        if claim_key.generation < min(known):
            return Err(KeyExpired())
        # A set that this VM has not heard of yet: another VM may have run it.
        return Err(NoMajority(0, 1))

    async def finish(self, key: str, answer: KeptAnswer) -> None:
        """Keep a call's whole answer for resends of its key."""
        await self.end(key, answer)

    async def finish_unknown(self, key: str, reason: str) -> None:
        """Note that a call may have run and that there is no answer."""
        await self.end(key, RunUnknown(reason))

    async def end(self, key: str, ending: KeptAnswer | RunUnknown) -> None:
        """Tell the holders what came of a granted attempt."""
        attempt = self.granted.get(key)
        if attempt is not None:
            await self.tell(Finish(attempt, ending))
            self.forget(key, attempt)

    async def release(self, key: str) -> None:
        """Give up a granted claim, on the proof that the call did not run.

        Only a connection that was never made is such a proof.
        """
        attempt = self.granted.get(key)
        if attempt is not None:
            await self.tell(Release(attempt))
            self.forget(key, attempt)

    def forget(self, key: str, attempt: Attempt) -> None:
        """Forget an attempt that is over, once holders know of it."""
        if self.granted.get(key) == attempt:
            self.granted.pop(key)

    async def answer_status(self, sender: str, body: bytes) -> bytes:
        """Tell a VM whether an attempt of this one is under way."""
        call = decode(ttypes.StatusCall, body)
        if call.attempt is None:
            raise FrameError('StatusCall: no attempt')
        attempts = (
            *self.granted.values(),
            *(ballot.attempt for ballot in self.ballots),
        )
        is_running = any(
            attempt is not None and attempt.number == call.attempt
            for attempt in attempts
        )
        return encode(ttypes.StatusReply(is_running))

    def withdraw(self, attempt: Attempt) -> None:
        """Have holders forget an attempt that never runs."""
        self.jobs.run(self.tell(Release(attempt)))

    async def tell(self, request: Finish | Release) -> None:
        """Tell every holder; return once a majority knows or all failed."""
        key = request.attempt.key
        holder_set = self.sets.get((key.region, key.generation))
        if holder_set is None:
            return
        told = asyncio.Semaphore(0)
        names = holder_set.names
        for holder in names:
            self.jobs.run(self.tell_holder(holder, request, told))
        for _ in range(majority(len(names))):
            await told.acquire()

    async def tell_holder(
        self,
        holder: str,
        request: Finish | Release,
        told: asyncio.Semaphore,
    ) -> None:
        """Tell one holder, several times where it does not answer."""
        for _ in range(TELL_TRIES):
            answer = await self.links.ask(holder, request, TELL_TIMEOUT_S)
            if answer is not None and answer.verdict is not Verdict.abstained:
                break
            await self.links.pause(TELL_PAUSE_S)
        else:
            self.metrics.count('claims_not_told_total')
        told.release()
