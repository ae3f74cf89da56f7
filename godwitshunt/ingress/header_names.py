"""Names of the headers that callers, upstreams and this system share."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Header names, in lower case; a deployment may have its own.

    Parameters
    ----------
    request_id : bytes
        Id of one attempt of a caller; upstreams repeat it in their answers.
    deadline_ms : bytes
        Milliseconds for which the sender waits.
    signature : bytes
        Told by the upstream that answered; a success without it is none.
    not_run : bytes
        Present in an answer that proves that the upstream did not run the
        request.
    expected_instance : bytes
        The incarnation that a request is meant for; another one answers 421.
    resume_after : bytes
        Id of the last event of a stream that the sender has.
    prompt_parts : bytes
        ``ID:TOKENS`` of each part of the prompt, in order, by commas.
    token_count : bytes
        Prompt tokens and the most output tokens, by a comma.
    urgency : bytes
        0 to 9 for the upstream's queue; 0 goes first.
    key : bytes
        The key of a caller's organisation, and nothing else; it is never
        passed on.
    organisation : bytes
        Tells an upstream whose request it gets.
    reserved : frozenset of bytes
        Headers that this system sets; dropped from callers' requests.
    """

    request_id: bytes = b'godwitshunt-request'
    deadline_ms: bytes = b'godwitshunt-deadline-ms'
    signature: bytes = b'godwitshunt-signature'
    not_run: bytes = b'godwitshunt-not-run'
    expected_instance: bytes = b'godwitshunt-instance'
    resume_after: bytes = b'last-event-id'
    prompt_parts: bytes = b'godwitshunt-prompt-parts'
    token_count: bytes = b'godwitshunt-prompt-tokens'
    urgency: bytes = b'godwitshunt-urgency'
    key: bytes = b'godwitshunt-key'
    organisation: bytes = b'godwitshunt-organisation'
    reserved: frozenset[bytes] = frozenset()
