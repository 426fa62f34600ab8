"""Calls of the platform to a router: whether it is ready, and its metrics."""

from typing import Any

import klein
from twisted.web import resource

from waxwingrack.daemons import callers_api


def build(router: Any) -> resource.Resource:
    """Builds the resource of the readiness port.

    Args:
      router: The `router.Router`.
    """
    app = klein.Klein()

    @app.route("/api/ready", methods=["GET", "HEAD"])
    def ready(request: Any) -> bytes:
        return callers_api.answer_ready(router, request)

    @app.route("/", branch=True)
    def other(_: Any) -> resource.Resource:
        return callers_api.operators_resource(router)

    return app.resource()
