"""Build TLS contexts in which both ends present a certificate."""

import ssl
from typing import NamedTuple


class TlsFiles(NamedTuple):
    """The PEM files of this host's certificate and key, and of the authority."""

    certificate: str
    key: str
    authority: str


def server_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return the listener's context; peers must present a certificate."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load_files(context, files)


def client_context(files: TlsFiles | None) -> ssl.SSLContext | None:
    """Return the dialler's context; hosts are dialled by IP, so no name is checked."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    context.check_hostname = False
    return _load_files(context, files)


def _load_files(context: ssl.SSLContext, files: TlsFiles) -> ssl.SSLContext:
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.authority)
    return context
