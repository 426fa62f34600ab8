"""Mutual TLS between the processes of the system.

The files are read once per process, so that a replacement in progress is never
read half-way. New files take effect after a restart.
"""

from collections.abc import Callable
import functools
import ssl

from waxwingrack.core import data

# Exceptions of an unfinished handshake, or if the peer closed the connection;
# they are no certificate or protocol errors.
_NON_REFUSAL_ERRORS = (
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
    ssl.SSLEOFError,
    ssl.SSLZeroReturnError,
    ssl.SSLSyscallError,
)


@functools.lru_cache(maxsize=8)
def make_client_context(files: data.TlsFiles) -> ssl.SSLContext:
    """Returns the TLS context for outgoing connections.

    Args:
      files: PEM files of this process.

    Raises:
      OSError: A file cannot be read or is invalid; includes `ssl.SSLError`.
    """
    return _make_context(files, ssl.Purpose.SERVER_AUTH)


def make_server_context(
    files: data.TlsFiles, on_refused: Callable[[ssl.SSLError], None]
) -> ssl.SSLContext:
    """Returns a TLS context for incoming connections.

    Args:
      files: PEM files of this process.
      on_refused: Called with the error when the handshake with a peer fails;
        asyncio drops such a connection without an error.

    Raises:
      OSError: A file cannot be read or is invalid; includes `ssl.SSLError`.
    """

    class ReportingSSLObject(ssl.SSLObject):
        def do_handshake(self) -> None:
            try:
                super().do_handshake()
            except _NON_REFUSAL_ERRORS:
                raise
            except ssl.SSLError as exc:
                on_refused(exc)
                raise

    context = _make_context(files, ssl.Purpose.CLIENT_AUTH)
    context.sslobject_class = ReportingSSLObject
    return context


def find_tls_error(exc: BaseException | None) -> ssl.SSLError | None:
    """Finds the TLS error in the causes of an exception.

    Args:
      exc: Exception of a failed connection.

    Returns:
      The TLS error, or None if the connection failed for another reason. An
      asyncio server closes the connection without a TLS alert, so a client that
      it refuses gets no TLS error.
    """
    while exc is not None and (
        not isinstance(exc, ssl.SSLError)
        or isinstance(exc, _NON_REFUSAL_ERRORS)
    ):
        exc = exc.__cause__ or exc.__context__
    return exc


def _make_context(files: data.TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return context
