"""TLS contexts for peer links and HTTP listeners."""

import ssl

from godwitshunt.settings import TlsSettings


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener; None if TLS is not configured.

    If the settings name a certificate authority, clients must present a
    certificate that it issued.
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
    """Return the TLS context of connections to peers; None without TLS.

    The peer's certificate must be issued by the deployment's own certificate
    authority for the IP address that is connected to.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    return context
