"""A plain service: echoes calls and counts how often each key ran."""

import asyncio
from dataclasses import dataclass

import defopt

from godwitshunt.exchange.problems import WholeAnswer
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from standins.answers import service_answer
from standins.host import Host, HostOptions

JSON_TYPE = ((b'content-type', b'application/json'),)


@dataclass(kw_only=True)
class ServiceOptions(HostOptions):
    """Run a stand-in for a plain service.

    Parameters
    ----------
    name
        The upstream's name.
    region
        The region it stands in.
    entries
        HTTP addresses of the region's entry VMs, joined by commas.
    listen
        Where it takes requests, as host:port.
    token
        Sent with announcements where entries ask for one.
    serves
        The manifest's service that it serves.
    slots
        Requests that it says it runs at once.
    work_s
        Seconds that each call takes.
    """

    serves: str = 'archive'
    slots: int = 64
    work_s: float = 0.0


class ServiceStandin(Host):
    """The plain service's process."""

    def __init__(self, options: ServiceOptions) -> None:
        self.options = options
        super().__init__(options, self.describe)

    def describe(self) -> dict:
        """Return what the service announces."""
        return {
            'service': self.options.serves,
            'address': self.options.address.model_dump(),
            'slots': self.options.slots,
        }

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer a call; its run counts even if the caller goes away."""
        self.runs.begin(request, f'{request.method} {request.target}')
        if self.options.work_s:
            await asyncio.sleep(self.options.work_s)
        body = service_answer(
            request.method,
            request.target,
            request.body,
            self.announcer.name,
        )
        self.runs.ended += 1
        await writer.whole(WholeAnswer(200, JSON_TYPE, body))


if __name__ == '__main__':
    asyncio.run(ServiceStandin(defopt.run(ServiceOptions)).run())
