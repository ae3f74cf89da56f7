"""The TLS context of listeners for callers."""

import ssl

from godwitshunt.peer import server_context
from godwitshunt.settings import TlsSettings


def caller_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the listener's TLS context.

    Callers prove themselves by key; only peer links ask for certificates.
    """
    if tls is None:
        return None
    return server_context(tls.model_copy(update={'authority': None}))
