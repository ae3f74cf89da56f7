"""TLS contexts from settings, for peer links and HTTP listeners."""

import ssl

from godwitshunt.settings import TlsSettings


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context for a listener; None where TLS is not set.

    Where the settings name an authority, the other side must show a
    certificate from it.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context for connections to peers; None without TLS.

    Certificates are checked against the deployment's own authority and the
    IP address that was connected to.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
