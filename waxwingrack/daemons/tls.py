"""Mutual TLS between the processes of the system.

The files are read once per process, so that files that are being replaced are
never read half-way; new ones take effect with a restart.
"""

from collections.abc import Callable
import functools
import ssl

from waxwingrack.core import data

# Exceptions of a handshake that waits or whose peer closed the connection.
_NO_REFUSAL = (
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
    ssl.SSLEOFError,
    ssl.SSLZeroReturnError,
    ssl.SSLSyscallError,
)


@functools.lru_cache(maxsize=8)
def make_client_context(files: data.TlsFiles) -> ssl.SSLContext:
    """Returns the context of outgoing connections.

    Args:
      files: PEM files of this process.

    Raises:
      OSError: A file cannot be read or does not fit; includes `ssl.SSLError`.
    """
    return _context(files, ssl.Purpose.SERVER_AUTH)


def make_server_context(
    files: data.TlsFiles, refused: Callable[[ssl.SSLError], None]
) -> ssl.SSLContext:
    """Returns a context of incoming connections.

    Args:
      files: PEM files of this process.
      refused: Called with the reason when the handshake with a peer fails;
        asyncio itself drops such a connection without a word.

    Raises:
      OSError: A file cannot be read or does not fit; includes `ssl.SSLError`.
    """

    class Handshake(ssl.SSLObject):
        def do_handshake(self) -> None:
            try:
                super().do_handshake()
            except _NO_REFUSAL:
                raise
            except ssl.SSLError as exc:
                refused(exc)
                raise

    context = _context(files, ssl.Purpose.CLIENT_AUTH)
    context.sslobject_class = Handshake
    return context


def find_tls_error(exc: BaseException | None) -> ssl.SSLError | None:
    """Finds the TLS fault behind an exception.

    Args:
      exc: Exception of a failed connection.

    Returns:
      The fault, or None if the connection failed for another reason. A server
      of asyncio closes without an alert, so a client that is refused learns
      nothing.
    """
    while exc is not None and (
        not isinstance(exc, ssl.SSLError) or isinstance(exc, _NO_REFUSAL)
    ):
        exc = exc.__cause__ or exc.__context__
    return exc


def _context(files: data.TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    return context
