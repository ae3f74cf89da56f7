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
    KeyExpired,
    NoMajority,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.stamps import StampKeeper
from godwitshunt.claims.standing import majority
from godwitshunt.claims.verdicts import Attempt, Finish, Release, Verdict
from godwitshunt.configuration.revision import HolderSet, Revision
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
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
        self.ballots: list[Ballot] = []
        # Keys whose ending is being told to the holders.
        self.settling: set[str] = set()
        self.background_tasks = BackgroundTasks()

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
        self.links.links.subscribe(
            MessageKind.claim_running,
            self.answer_running,
        )
        self.stamps.start()

    async def close(self) -> None:
        """Stop voting; claims under way are withdrawn by their callers."""
        await self.stamps.close()
        await self.background_tasks.close()
        await self.links.background_tasks.close()
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
        self.ballots.append(ballot)
        try:
            outcome = await ballot.run()
        finally:
            self.ballots.remove(ballot)
        if isinstance(outcome, Granted):
            self.granted[key] = ballot.attempt
        elapsed_s = self.timer.now() - started_s
        name = type(outcome).__name__
        self.metrics.observe('claim_seconds', elapsed_s, outcome=name)
        return outcome

    async def answer_running(self, sender: str, body: bytes) -> bytes:
        """Tell a rival's VM whether an attempt here may run a key's call."""
        key = decode(ttypes.RunningCall, body).key
        if not key:
            raise FrameError('RunningCall: no key')
        return encode(ttypes.RunningReply(running=self.may_run(key)))

    def may_run(self, key: str) -> bool:
        """Tell whether an attempt of this VM runs, or may come to run.

        One that only waits for another VM's attempt does not.
        """
        voting = any(
            ballot.key.text == key and ballot.attempt is not None
            for ballot in self.ballots
        )
        return voting or key in self.granted or key in self.settling

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
        if known and claim_key.generation < min(known):
            return Err(KeyExpired())
        # A region or a set that this VM has not heard of yet: another VM may
        # have run the call.
        return Err(NoMajority(0, 1))

    async def finish(self, key: str, answer: StoredAnswer) -> None:
        """Keep a call's whole answer for resends of its key."""
        await self.end(key, answer)

    async def finish_unknown(self, key: str, reason: str) -> None:
        """Note that a call may have run and that there is no answer."""
        await self.end(key, RunUnknown(reason))

    async def end(self, key: str, ending: StoredAnswer | RunUnknown) -> None:
        """Tell the holders what came of a granted attempt."""
        attempt = self.granted.pop(key, None)
        if attempt is not None:
            await self.settle(key, Finish(attempt, ending))

    async def release(self, key: str) -> None:
        """Give up a granted claim, on the proof that the call did not run.

        Only a connection that was never made is such a proof.
        """
        attempt = self.granted.pop(key, None)
        if attempt is not None:
            await self.settle(key, Release(attempt))

    async def settle(self, key: str, request: Finish | Release) -> None:
        """Tell the holders; rivals are told to wait until they know."""
        self.settling.add(key)
        try:
            await self.tell(request)
        finally:
            self.settling.discard(key)

    def withdraw(self, attempt: Attempt) -> None:
        """Have holders forget an attempt that never runs."""
        self.background_tasks.run(self.tell(Release(attempt)))

    async def tell(self, request: Finish | Release) -> None:
        """Tell every holder; return once a majority knows or all failed."""
        key = request.attempt.key
        holder_set = self.sets.get((key.region, key.generation))
        if holder_set is None:
            return
        told = asyncio.Semaphore(0)
        names = holder_set.names
        for holder in names:
            self.background_tasks.run(self.tell_holder(holder, request, told))
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
