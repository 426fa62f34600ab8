"""HTTP API of a router for the platform: readiness check and metrics."""

from typing import Any

import klein
from twisted.web import resource

from waxwingrack.daemons import callers_api


def build_resource(router: Any) -> resource.Resource:
    """Builds the resource of the readiness port.

    Args:
      router: The `router.Router`.
    """
    app = klein.Klein()

    @app.route("/api/ready", methods=["GET", "HEAD"])
    def answer_ready(request: Any) -> bytes:
        return callers_api.answer_ready(router, request)

    @app.route("/", branch=True)
    def serve_other_paths(_: Any) -> resource.Resource:
        return callers_api.operators_resource(router)

    return app.resource()
