"""Mutual TLS between daemons.

Both sides present a certificate of the fleet's authority. Host names are not
checked, as daemons are dialled by IP number: the handshake over the TLS
connection (`topazlug.peers._peer_auth`) verifies which daemon answers.
"""

from gevent import ssl

from topazlug._generated import settings


def server_context(tls: settings.TlsSettings) -> ssl.SSLContext:
    """Return the context of the accepting side.

    Raises
    ------
    OSError
        If a file can't be read or contains no certificate.
    """
    return _with_files(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)


def client_context(tls: settings.TlsSettings) -> ssl.SSLContext:
    """Return the context of the dialling side.

    Raises
    ------
    OSError
        If a file can't be read or contains no certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _with_files(context, tls)


def _with_files(
    context: ssl.SSLContext, tls: settings.TlsSettings
) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context
