"""Limits on the bodies of calls to the operators' ports."""

# Methods that override those of Twisted keep its names.
# ruff: noqa: N802

from typing import Any

from twisted.web import resource
from twisted.web import server

from waxwingrack.core import logs
from waxwingrack.daemons import bounded_channels

MAX_BODY_BYTES = 1024 * 1024
# A body over its limit is discarded up to here, so that a caller that sends all
# of it reads the refusal; one that sends without end is cut off.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024


class LimitedRequest(server.Request):
    """Request that keeps no more of its body than the limit.

    Attributes:
      max_body_bytes: Limit of the body.
      too_large: Whether the body was over the limit, so that `content` is only
        a part of it.
    """

    def __init__(self, *args: Any, **fields: Any):
        super().__init__(*args, **fields)
        self.max_body_bytes = MAX_BODY_BYTES
        self.too_large = False
        self._received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:
        """Stores a part of the body, or discards it beyond the limit."""
        self._received_bytes += len(data)
        excess = self._received_bytes - self.max_body_bytes
        if excess <= 0:
            super().handleContentChunk(data)
            return
        if not self.too_large:
            self.too_large = True
            self.setHeader(b"Connection", b"close")
            logs.event(
                "body_too_large",
                peer=str(self.getClientAddress()),
                limit=self.max_body_bytes,
            )
        if excess > MAX_DISCARDED_BYTES:
            self.channel.transport.abortConnection()


def build_site(
    root: resource.Resource,
    request_class: type[LimitedRequest] = LimitedRequest,
) -> server.Site:
    """Builds the HTTP server of an operators' port, without an access log.

    Args:
      root: Resource of the port.
      request_class: Class of its requests.
    """
    site = server.Site(root, requestFactory=request_class)
    site.protocol = bounded_channels.BoundedChannel
    site.displayTracebacks = False
    site.log = lambda request: None
    return site
