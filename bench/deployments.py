"""Sizes of the two deployments, scaled to one machine."""

import dataclasses

# Slots of a stand-in; the real engines have more.
ENGINE_SLOTS = 8
PLAIN_SLOTS = 8
# Time of a token for a batch of one, and for each other running request. With
# these, a batch beyond the slots adds little throughput.
TOKEN_MS = 4.0
TOKEN_BATCH_MS = 1.5


@dataclasses.dataclass(frozen=True)
class Pool:
    """Backend servers of one service.

    Attributes:
      service: Service id.
      servers: Number of backend servers.
      engine: Whether they are model engines.
    """

    service: str
    servers: int
    engine: bool


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One deployment.

    Attributes:
      name: Name.
      routers: Number of routers.
      pools: Pools; the first one is the model pool.
      large: Number of large workspaces.
      workspaces: Number of workspaces.
    """

    name: str
    routers: int
    pools: tuple[Pool, ...]
    large: int = 3
    workspaces: int = 16

    def workspace_ids(self):
        """Returns the workspace ids, large ones first."""
        return [f"w{number + 1}" for number in range(self.workspaces)]


DEPLOYMENTS = {
    "chora": Deployment(
        "chora",
        routers=7,
        pools=(Pool("sketch", 10, True), Pool("booking", 3, False)),
    ),
    "karoo": Deployment(
        "karoo",
        routers=7,
        pools=(Pool("model", 5, True), Pool("queue", 3, False)),
    ),
}


def environment_services(deployment):
    """Returns the services of the environment document."""
    return [
        {
            "id": pool.service,
            "version": "v1",
            "cost_meter": "tokens" if pool.engine else "slot_ms",
            "routes": [
                {
                    "id": "use",
                    "path": f"/{pool.service}",
                    "idempotent": True,
                }
            ],
        }
        for pool in deployment.pools
    ]
