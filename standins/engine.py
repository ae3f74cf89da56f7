"""A model engine: chat by SSE, batching, prefix cache, orders."""

import asyncio
import json
import time
from dataclasses import dataclass

import defopt
from pydantic import ValidationError

from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    json_answer,
    render_problem,
)
from godwitshunt.exchange.prompts import (
    ChatDocument,
    prefix_blocks,
    prompt_text,
    prompt_tokens,
)
from godwitshunt.exchange.requests import AnswerWriter, HttpRequest
from standins.answers import answer_token, answer_tokens, prompt_digest
from standins.batching import BLOCK_TOKENS, BatchingModel, Job, PrefixCache
from standins.host import Host, HostOptions

CHAT_PATH = '/v1/chat/completions'
ORDERS_PREFIX = '/v1/orders/'
RESUME_HEADER = b'godwitshunt-resume-offset'
PRIORITY_HEADER = b'godwitshunt-priority'
FENCING_HEADER = b'godwitshunt-fencing'
STREAM_TYPE = (b'content-type', b'text/event-stream')
REPORTED_BLOCKS = 512
MILLISECONDS = 1000
CONFLICT = 409


@dataclass(kw_only=True)
class EngineOptions(HostOptions):
    """Run a stand-in for a model engine.

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
    models
        Loaded models, joined by commas.
    role
        mixed, prefill or decode.
    slots
        Requests that it runs at once.
    prefill_rate
        Prompt tokens a second.
    decode_rate
        Tokens a second of each request.
    kv_tokens
        Prompt tokens that its cache holds.
    load_lag_s
        Seconds by which its reported load is late.
    price
        Cost of 1,000 generated tokens.
    fencing
        Refuse orders with an old fencing number.
    stamped
        Begin each token's event with a comment that tells when it was sent,
        in seconds of the machine's monotonic clock; for measurements.
    """

    serves: str = 'chat'
    models: str = 'review'
    role: str = 'mixed'
    slots: int = 32
    prefill_rate: float = 20000.0
    decode_rate: float = 100.0
    kv_tokens: int = 200_000
    load_lag_s: float = 0.2
    price: float = 1.0
    fencing: bool = False
    stamped: bool = False


@dataclass(frozen=True)
class StreamedAnswer:
    r"""The events of a streamed answer, rendered as they are asked for.

    Rendering a long answer before its first event would hold up the process
    for seconds beside load, and with it every other request.

    Parameters
    ----------
    model, prompt : str
        What was asked of which model.
    count : int
        Tokens of the whole answer.

    Examples
    --------
    >>> answer = StreamedAnswer('review', 'hello', count=2)
    >>> len(answer.between(0, 2)), answer.between(3, 9)
    (2, [b'data: [DONE]\n\n'])
    """

    model: str
    prompt: str
    count: int

    @property
    def last(self) -> int:
        """Events in all: the tokens, the stop and the final marker."""
        return self.count + 2

    def between(self, start: int, end: int) -> list[bytes]:
        """Return events from one position up to another, both from 0."""
        digest = prompt_digest(self.prompt)
        positions = range(start, min(end, self.last))
        return [self.event(digest, position) for position in positions]

    def event(self, digest: str, position: int) -> bytes:
        """Return the event at a position."""
        if position > self.count:
            return b'data: [DONE]\n\n'
        choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
        if position < self.count:
            token = answer_token(digest, position)
            choice.update(delta={'content': token}, finish_reason=None)
        document = {
            'id': f'chatcmpl-{digest}',
            'object': 'chat.completion.chunk',
            'model': self.model,
            'choices': [choice],
        }
        return f'data: {json.dumps(document)}\n\n'.encode()


def unary_answer(model: str, prompt: str, count: int) -> dict:
    """Return the answer to a chat request that does not stream."""
    message = {
        'role': 'assistant',
        'content': ''.join(answer_tokens(prompt, count)),
    }
    return {
        'id': f'chatcmpl-{prompt_digest(prompt)}',
        'object': 'chat.completion',
        'model': model,
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': {
            'prompt_tokens': prompt_tokens(prompt),
            'completion_tokens': count,
        },
    }


class EngineStandin(Host):
    """The model engine's process."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        cache = PrefixCache(options.kv_tokens // BLOCK_TOKENS)
        self.model = BatchingModel(
            slots=options.slots,
            prefill_rate=options.prefill_rate,
            decode_rate=options.decode_rate,
            cache=cache,
            load_lag_s=options.load_lag_s,
        )
        self.models = options.models.split(',')
        self.adapters: list[str] = []
        self.role = options.role
        self.highest_fencing = 0
        self.orders: list[dict] = []
        self.batching: asyncio.Task[None] | None = None
        super().__init__(options, self.describe)

    def describe(self) -> dict:
        """Return what the engine announces."""
        now = asyncio.get_running_loop().time()
        age_s, running, queued, tokens = self.model.lagged_load(now)
        added, dropped = self.model.cache.take_news(REPORTED_BLOCKS)
        return {
            'service': self.options.serves,
            'address': self.options.address.model_dump(),
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
            'slots': self.options.slots,
            'running': running,
            'queued': queued,
            'queued_tokens': tokens,
            'prefill_tokens_per_s': self.options.prefill_rate,
            'decode_tokens_per_s': self.options.decode_rate,
            'price': self.options.price,
            'cached_added': added,
            'cached_dropped': dropped,
            'honours_resume': True,
            'honours_priority': True,
            'honours_fencing': self.options.fencing,
            'measured_age_ms': int(age_s * MILLISECONDS),
        }

    async def start(self) -> None:
        """Start the batching, then listen and announce."""
        self.batching = asyncio.create_task(self.model.run())
        await super().start()

    def tell_runs(self) -> dict:
        """Return everything that ran here, and the orders that were taken."""
        return {**super().tell_runs(), 'orders': self.orders}

    async def serve(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Answer a chat request or take an order."""
        match request.method, request.path:
            case 'POST', path if path == CHAT_PATH:
                await self.chat(request, writer)
            case 'PUT', path if path.startswith(ORDERS_PREFIX):
                await writer.whole(self.take_order(request))
            case _:
                await writer.whole(refusal(ProblemKind.not_found, request.path))

    async def chat(self, request: HttpRequest, writer: AnswerWriter) -> None:
        """Run a prompt through the batch; stop where the caller goes."""
        try:
            document = ChatDocument.model_validate_json(request.body)
        except ValidationError as invalid:
            told = refusal(ProblemKind.invalid_document, str(invalid))
            return await writer.whole(told)
        if document.model not in self.models:
            told = refusal(ProblemKind.not_found, document.model)
            return await writer.whole(told)
        prompt = prompt_text(document.messages)
        offset = int(request.header(RESUME_HEADER) or 0)
        self.runs.begin(request, prompt)
        job = Job(
            blocks=prefix_blocks(prompt),
            prompt_tokens=prompt_tokens(prompt),
            output_tokens=max(1, document.output_tokens - offset),
            priority=int(request.header(PRIORITY_HEADER) or 0),
        )
        number = self.model.submit(job)
        writer.channel.on_lost = lambda: self.model.cancel(number)
        try:
            await self.answer(document, prompt, offset, job, writer)
        except ConnectionError:
            self.runs.cancelled += 1
        else:
            self.runs.ended += 1
        finally:
            writer.channel.on_lost = None
            self.model.cancel(number)

    async def answer(
        self,
        document: ChatDocument,
        prompt: str,
        offset: int,
        job: Job,
        writer: AnswerWriter,
    ) -> None:
        """Send the answer, in one piece or as it is made."""
        count = document.output_tokens
        if document.stream:
            events = StreamedAnswer(document.model, prompt, count)
            stamped = self.options.stamped
            return await stream(events, offset, job, writer, stamped=stamped)
        while not job.finished:
            await wait(job)
        told = unary_answer(document.model, prompt, count)
        await writer.whole(json_answer(told))

    def take_order(self, request: HttpRequest) -> WholeAnswer:
        """Load something or change role, unless the number is an old one."""
        try:
            order = dict(request.document())
            fencing = int(request.header(FENCING_HEADER) or 0)
        except (TypeError, ValueError):
            return refusal(ProblemKind.invalid_document, 'an order')
        if self.options.fencing and fencing < self.highest_fencing:
            told = {'highest_fencing': self.highest_fencing}
            return json_answer(told, CONFLICT)
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.orders.append({**order, 'fencing': fencing})
        match order:
            case {'action': 'load-model', 'subject': str(model)}:
                self.models = sorted({*self.models, model})
            case {'action': 'load-adapter', 'subject': str(adapter)}:
                self.adapters = sorted({*self.adapters, adapter})
            case {'action': 'change-role', 'subject': str(role)}:
                self.role = role
        return json_answer({'accepted': True})


async def stream(
    events: StreamedAnswer,
    offset: int,
    job: Job,
    writer: AnswerWriter,
    *,
    stamped: bool,
) -> None:
    """Send events as their tokens are made, from an offset on."""
    headers = [STREAM_TYPE]
    if offset:
        headers.append((RESUME_HEADER, str(offset).encode()))
    await writer.begin(200, tuple(headers))
    position = offset
    while not job.finished:
        count = await wait(job)
        made = events.between(position, position + count)
        if stamped:
            mark = b': at %.6f\n' % time.monotonic()
            made = [b''.join((mark, event)) for event in made]
        await writer.send(b''.join(made))
        position += count
    rest = b''.join(events.between(position, events.last))
    if rest:
        await writer.send(rest)
    await writer.finish()


async def wait(job: Job) -> int:
    """Return how many tokens were made; raise where the caller went."""
    count = await job.take()
    if job.cancelled:
        raise ConnectionResetError('cancelled')
    return count


def refusal(kind: ProblemKind, detail: str) -> WholeAnswer:
    """Return a refusal of something that did not run."""
    return render_problem(Problem(kind, detail, Outcome.not_run))


if __name__ == '__main__':
    asyncio.run(EngineStandin(defopt.run(EngineOptions)).run())
