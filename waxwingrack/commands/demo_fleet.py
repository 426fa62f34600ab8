"""Fleet of the demonstration, within one process on loopback."""

import asyncio
import dataclasses
import hashlib
import pathlib
import random
import secrets
import socket
import tempfile
import time
from typing import Any

from waxwingrack.commands import operators_client
from waxwingrack.core import data
from waxwingrack.daemons import clocks
from waxwingrack.daemons import controller
from waxwingrack.daemons import router
from waxwingrack.daemons import stand_in
from waxwingrack.daemons import storage

HOST = "127.0.0.1"
WORKSPACES = ("north", "south")
# Id, service, version and data centre of the backend servers.
SERVERS = (
    ("sketch-1", "sketch", "v1", "a"),
    ("sketch-2", "sketch", "v1", "b"),
    ("booking-1", "booking", "v1", "a"),
    ("booking-2", "booking", "v1", "b"),
)
ROLLOUT_SERVERS = (
    ("sketch-3", "sketch", "v2", "a"),
    ("sketch-4", "sketch", "v2", "b"),
)
CALL_TIMEOUT_S = 10.0


class DemoFleet:
    """One controller, one router and stand-in backend servers.

    Attributes:
      callers: Address of the router's callers' port.
      router_operators: Address of the router's operators' port.
      operators: Address of the operators' API.
      operator_token_file: File with the operators' token.
      tokens: Bearer tokens by workspace.
      target: Controllers and token for calls of the operators' API.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="waxwingrack-demo-")
        ports = _free_ports(4)
        control, self.operators, self.callers, self.router_operators = (
            data.Address(HOST, port) for port in ports
        )
        self.tokens = {name: secrets.token_urlsafe(12) for name in WORKSPACES}
        self._announce_token = secrets.token_urlsafe(12)
        operator_token = secrets.token_urlsafe(12)
        self.operator_token_file = self._write_secret("token", operator_token)
        shared_key_file = self._write_secret(
            "shared-key", secrets.token_hex(16)
        )
        self.target = operators_client.Target(
            (self.operators,), operator_token, CALL_TIMEOUT_S
        )
        common = data.Settings(
            role=data.Role.CONTROLLER,
            node_id="c1",
            data_centre="a",
            operators=self.operators,
            controllers=(data.Peer("c1", control, self.operators),),
            control=control,
            shared_key_file=shared_key_file,
            operator_token_file=self.operator_token_file,
            shutdown_delay_s=0.0,
            shutdown_timeout_s=5.0,
        )
        self._processes: list[Any] = [
            controller.Controller(
                common,
                storage.MemoryStorage(),
                clocks.monotonic_ms,
                random.Random(),
            ),
            router.Router(
                dataclasses.replace(
                    common,
                    role=data.Role.ROUTER,
                    node_id="r1",
                    operators=self.router_operators,
                    callers=self.callers,
                    control=None,
                    operator_token_file=None,
                ),
                clocks.monotonic_ms,
                random.Random(),
            ),
        ]
        self._running: list[Any] = []

    async def start(self) -> None:
        """Starts the controller, the router and the backend servers.

        Raises:
          OSError: A port cannot be opened.
        """
        for process in self._processes:
            await process.start()
            self._running.append(process)
        await self.add_servers(SERVERS)

    async def add_servers(
        self, servers: tuple[tuple[str, str, str, str], ...]
    ) -> None:
        """Starts stand-in backend servers.

        Args:
          servers: Id, service, version and data centre of each.
        """
        for server_id, service, version, data_centre in servers:
            server = stand_in.StandIn(
                stand_in.Config(
                    server_id=server_id,
                    service=service,
                    version=version,
                    data_centre=data_centre,
                    routers=(self.callers,),
                    announce_token=self._announce_token,
                    announce_interval_s=0.5,
                    engine=service == "sketch",
                    tokens=8,
                )
            )
            await server.start()
            self._running.append(server)

    async def stop(self) -> None:
        """Stops all started processes and deletes the secrets."""
        for process in reversed(self._running):
            await process.stop()
        self._folder.cleanup()

    def environment_document(self) -> dict[str, Any]:
        """Returns the environment document of the demonstration."""
        return {
            "name": "demo",
            "workspaces": [
                {
                    "id": name,
                    "weight": 1.0,
                    "token_digests": [_digest_token(token)],
                }
                for name, token in self.tokens.items()
            ],
            "services": [
                {
                    "id": "sketch",
                    "version": "v1",
                    "cost_meter": "tokens",
                    "routes": [
                        {
                            "id": "draft",
                            "path": "/v1/drafts",
                            "methods": ["POST"],
                            "idempotent": True,
                        }
                    ],
                },
                {
                    "id": "booking",
                    "version": "v1",
                    "routes": [
                        {
                            "id": "deposit",
                            "path": "/booking/deposits",
                            "methods": ["POST"],
                        },
                    ],
                },
            ],
            "data_centres": [
                {"id": "a", "region": "demo"},
                {"id": "b", "region": "demo"},
            ],
            "announce_token_digests": [_digest_token(self._announce_token)],
        }

    async def call_operators_api(
        self, method: str, path: str, **body: Any
    ) -> dict[str, Any]:
        """Calls the operators' API.

        Args:
          method: HTTP method.
          path: Path of the call.
          **body: Fields of a change; none for a read.

        Returns:
          The answer.

        Raises:
          CommandError: The call failed.
        """
        change = body and {
            "operation": secrets.token_hex(8),
            "operator": "demo",
            "expected": None,
            **body,
        }
        return await operators_client.call(
            self.target, method, path, change or None
        )

    def _write_secret(self, name: str, text: str) -> str:
        path = pathlib.Path(self._folder.name) / name
        path.write_text(text)
        return str(path)


async def wait_until(check: Any, description: str, limit_s: float) -> Any:
    """Waits until a check succeeds.

    Args:
      check: Coroutine function; a true result ends the wait.
      description: Description of the awaited state, for the error message.
      limit_s: Time limit in seconds.

    Returns:
      Result of the successful check.

    Raises:
      TimeoutError: The check did not succeed in time.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        found = await check()
        if found:
            return found
        await asyncio.sleep(0.1)
    raise TimeoutError(f"not reached within {limit_s:.0f} s: {description}")


def _digest_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
