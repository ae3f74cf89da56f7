"""Names of the headers shared by callers, upstreams and this system."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case; a deployment may override them.

    Parameters
    ----------
    request_id : bytes
        Id of one attempt of a caller; upstreams return it in their answers.
    deadline_ms : bytes
        Milliseconds until the sender's deadline.
    signature : bytes
        Set by the upstream that answered; a success without it is invalid.
    not_run : bytes
        Present in an answer that proves that the upstream did not run the
        request.
    expected_instance : bytes
        The upstream that a request is meant for; any other answers 421.
    resume_after : bytes
        Id of the last event of a stream that the sender has received.
    prompt_parts : bytes
        ``ID:TOKENS`` of each part of the prompt, in order, comma-separated.
    token_count : bytes
        Prompt tokens and maximum output tokens, comma-separated.
    urgency : bytes
        Priority from 0 to 9 in the upstream's queue; 0 is served first.
    rate_limit : bytes
        Requests per second that the upstream that answered accepts from all
        VMs together; absent if it has no limit.
    brittle : bytes
        Rejections per second after which the upstream that answered fails;
        absent if it bears any.
    leaving : bytes
        1 in the answers of an upstream that is leaving.
    key : bytes
        The key of the caller's organisation; it is never passed on.
    organisation : bytes
        Name of the organisation that sent the request, for upstreams.
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
    rate_limit: bytes = b'godwitshunt-rate-limit'
    brittle: bytes = b'godwitshunt-brittle'
    leaving: bytes = b'godwitshunt-leaving'
    key: bytes = b'godwitshunt-key'
    organisation: bytes = b'godwitshunt-organisation'
    reserved: frozenset[bytes] = frozenset()
