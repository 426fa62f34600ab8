"""Checks the lines that Twisted's parsers of HTTP messages let pass.

Twisted accepts control characters in reason phrases and in most field values,
and does not look at trailers. The rules are those of
`operations/http_syntax.py`.
"""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802

from collections.abc import Callable
import functools
from typing import Any

from twisted.web import _newclient
from twisted.web import http

from waxwingrack.operations import http_syntax

# Longest part of an invalid line that is logged, in bytes.
MAX_LOGGED_BYTES = 64

# Called with the place of an invalid line and its representation for the log.
Report = Callable[[http_syntax.Place, str], None]
_Place = http_syntax.Place


def _ignore(place: http_syntax.Place, line: str) -> None:
    del place, line


class ChunkedBodyDecoder(http._ChunkedTransferDecoder):
    """Decoder of chunks that checks the trailer behind them.

    An invalid trailer raises `_MalformedChunkedDataError`, like an invalid line
    around a chunk, so the body never counts as whole.
    """

    def __init__(
        self,
        data_callback: Callable[[bytes], None],
        finish_callback: Callable[[bytes], None],
        report: Report = _ignore,
    ):
        """Prepares a decoder.

        Args:
          data_callback: Called with each part of the body.
          finish_callback: Called with the bytes behind the message.
          report: Called with an invalid line.
        """
        super().__init__(data_callback, finish_callback)
        self._report = report

    def dataReceived(self, data: bytes) -> None:
        """Decodes a part of the message and reports a line that is invalid."""
        try:
            super().dataReceived(data)
        except http._MalformedChunkedDataError:
            if self.state == "TRAILER" and self._trailerHeaders:
                place, line = _Place.TRAILER, self._trailerHeaders[-1]
            else:
                place, line = _Place.CHUNK_LINE, self._buffer
            self._report(place, _shorten(line))
            raise

    def _dataReceived_TRAILER(self) -> bool:
        known = len(self._trailerHeaders)
        more = super()._dataReceived_TRAILER()
        for number, line in enumerate(self._trailerHeaders[known:], known):
            continues = number > 0 and http_syntax.is_continuation(line)
            if not continues and not http_syntax.is_field_line(line):
                raise http._MalformedChunkedDataError("invalid trailer")
        return more


def check_answer(parser: Any, report: Report) -> None:
    """Makes a parser of an answer refuse lines that HTTP does not allow.

    Args:
      parser: The parser, before it has received any bytes.
      report: Called with an invalid line.
    """
    receive, end_head = parser.lineReceived, parser.allHeadersReceived

    def receive_checked(line: bytes) -> None:
        line = line.removesuffix(b"\r")
        place = _find_place(parser)
        normalised = http_syntax.normalise_answer_line(line, place)
        if normalised is None:
            report(place, _shorten(line))
            raise _newclient.ParseError("invalid line", line)
        receive(normalised)

    def end_checked_head() -> None:
        # Twisted reads no length of an answer without a body.
        is_head = parser.request.method == b"HEAD"
        headers = parser.headers if is_head else parser.connHeaders
        try:
            length = _newclient._contentLength(headers)
        except ValueError as exc:
            report(_Place.FIELD, str(exc)[:MAX_LOGGED_BYTES])
            raise _newclient.ParseError("invalid length", b"") from exc
        if length is not None:
            headers.setRawHeaders(b"Content-Length", [b"%d" % length])
        end_head()

    parser.lineReceived = receive_checked
    parser.allHeadersReceived = end_checked_head
    parser._transferDecoders = {
        b"chunked": functools.partial(ChunkedBodyDecoder, report=report)
    }


def _find_place(parser: Any) -> http_syntax.Place:
    if parser.state == _newclient.STATUS:
        return _Place.STATUS_LINE
    return _Place.FIRST_FIELD if parser._partialHeader is None else _Place.FIELD


def _shorten(line: bytes | bytearray) -> str:
    return repr(bytes(line[:MAX_LOGGED_BYTES]))
