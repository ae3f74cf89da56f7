"""A caller of the demonstration: asks the directory, then sends requests."""

import json
import secrets
import time
from dataclasses import dataclass
from http.client import HTTPConnection
from typing import Any, Self

from demo.layout import caller_key

TIMEOUT_S = 30.0
RETRIES = 8
RETRY_PAUSE_S = 0.1
STREAM_END = b'data: [DONE]'


@dataclass(frozen=True)
class Answer:
    """An answer as the caller got it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict
        Header fields, names in lower case.
    body : bytes
        The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """The body read as JSON."""
        return json.loads(self.body)

    @property
    def served_by(self) -> str:
        """Who served the answer, as the headers tell."""
        parts = (
            f'{part}={self.headers.get(f"godwitshunt-{part}", "?")}'
            for part in ('entry', 'region', 'upstream', 'revision')
        )
        return ' '.join(parts)

    @property
    def text(self) -> str:
        """The text of a chat answer, unary or streamed."""
        if not self.headers['content-type'].startswith('text/event-stream'):
            return self.document['choices'][0]['message']['content']
        lines = self.body.split(b'\n')
        chunks = [
            json.loads(line.removeprefix(b'data: '))
            for line in lines
            if line.startswith(b'data: {')
        ]
        return ''.join(
            chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
        )


@dataclass
class DemoCaller:
    """A caller with its key and the entry VM that the directory named."""

    name: str
    entry: str
    stamp: str

    @classmethod
    def from_directory(cls, name: str, known_entry: str) -> Self:
        """Ask any known entry VM for the list and take the first."""
        document = {'key_stamp': None}
        while document['key_stamp'] is None:
            # A VM that has just started knows no stamp yet.
            time.sleep(RETRY_PAUSE_S)
            answer = send(known_entry, 'GET', '/v1/entries', caller=name)
            document = answer.document
        first = document['entries'][0]
        entry = '{host}:{port}'.format(**first['address'])
        return cls(name, entry, document['key_stamp'])

    def chat(self, prompt: str, *, stream: bool) -> Answer:
        """Ask the model."""
        body = {
            'model': 'review',
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': 16,
            'stream': stream,
        }
        return send(
            self.entry,
            'POST',
            '/v1/chat/completions',
            caller=self.name,
            body=json.dumps(body).encode(),
        )

    def look_up(self, path: str) -> Answer:
        """Call the plain service with an idempotent method."""
        return send(
            self.entry,
            'GET',
            f'/services/archive/{path}',
            caller=self.name,
        )

    def new_key(self) -> str:
        """Return an idempotency key under the directory's stamp."""
        return f'{self.stamp}.{secrets.token_hex(8)}'

    def file(self, path: str, body: bytes, key: str) -> Answer:
        """Call the plain service with a method that may run only once."""
        return send(
            self.entry,
            'POST',
            f'/services/archive/{path}',
            caller=self.name,
            body=body,
            key=key,
        )


def send(
    entry: str,
    method: str,
    path: str,
    *,
    caller: str,
    body: bytes = b'',
    key: str | None = None,
) -> Answer:
    """Send a request, again where a refusal says when to come back."""
    for _ in range(RETRIES):
        answer = send_once(entry, method, path, caller, body, key)
        if 'retry-after' not in answer.headers:
            break
        time.sleep(float(answer.headers['retry-after']))
    return answer


def send_once(
    entry: str,
    method: str,
    path: str,
    caller: str,
    body: bytes,
    key: str | None,
) -> Answer:
    """Send one request and read the whole answer."""
    headers = {
        'Authorization': f'Bearer {caller_key(caller)}',
        'Content-Type': 'application/json',
    }
    if key is not None:
        headers['Idempotency-Key'] = key
    connection = HTTPConnection(entry, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        fields = {name.lower(): text for name, text in response.getheaders()}
        return Answer(response.status, fields, response.read())
    finally:
        connection.close()
