"""Command `status`, which shows the state of the fleet."""

from waxwingrack.commands import base
from waxwingrack.commands import operators_client
from waxwingrack.commands import rollout

TABLES = (
    "controllers",
    "routers",
    "data_centres",
    "backend_servers",
    "workspaces",
    "order_settings",
    "orders",
    "duties",
)


class StatusCommand(base.OperatorsCommand):
    """Shows the state of the fleet."""

    name = "status"
    description = "Show the state of the fleet"

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        status = await operators_client.call(target, "GET", "/v1/status")
        if not self.option("json"):
            self.line(
                f"leader {status['leader']}, term {status['term']}, "
                f"environment number {status['number']}"
            )
        self.print_state(
            status,
            # The leader may run an earlier release without orders or duties.
            {
                name.replace("_", " "): _sort_rows(status.get(name, []))
                for name in TABLES
            }
            | {
                "rollouts": rollout.build_rollout_rows(status["rollouts"]),
                "refused digests": [
                    {"digest": digest} for digest in status["refused_digests"]
                ],
            },
        )


def _sort_rows(rows: list[dict]) -> list[dict]:
    # The leader lists rows in an order that may differ between calls.
    return sorted(
        rows,
        key=lambda row: (
            row.get("service", ""),
            row.get("id") or row.get("server_id", ""),
        ),
    )
