"""TLS contexts from settings."""

import ssl
from pathlib import Path


def server_tls_context(certificate: Path | None, key: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, ``None`` if no certificate is configured.

    :raises OSError: if a file cannot be read
    """
    if certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


def client_tls_context(ca: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context of outgoing links, ``None`` if no CA is configured.

    The VM list identifies peers by IP address, so the certificate is verified against the CA and
    the IP address.

    :raises OSError: if the file cannot be read
    """
    if ca is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=str(ca))
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
