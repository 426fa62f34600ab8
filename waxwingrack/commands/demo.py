"""Command `demo`, which demonstrates a small fleet."""

import asyncio
import collections
import json
import time
from typing import Any
from typing import ClassVar

from cleo import helpers
from cleo.commands import command

from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.daemons import event_loop

# Concurrent requests during the rollout, enough for the rollout's judges to get
# their minimum sample within each part of the deadline.
BACKGROUND_CALLERS = 6
ROLLOUT_DEADLINE_S = 16.0
ROLLOUT_WATCH_S = 2.0
# Time within which a drain takes effect, in seconds.
DRAIN_TIME_LIMIT_S = 2.0


class DemoCommand(command.Command):
    """Runs a small fleet inside this process and shows what it does."""

    name = "demo"
    description = "Run a small fleet on loopback and show what it does"
    options: ClassVar[list] = [
        helpers.option("keep", None, "Leave the fleet running afterwards")
    ]

    def handle(self) -> int:
        """Runs the command.

        Returns:
          Exit code.
        """
        return event_loop.run(self._run())

    async def _run(self) -> int:
        # Imported late so that operators' commands start faster.
        from waxwingrack.commands import demo_fleet

        stopped = event_loop.make_stop_event()
        fleet = demo_fleet.DemoFleet()
        demonstration = asyncio.ensure_future(
            _Demonstration(fleet, demo_fleet.wait_until, self.line).run()
        )
        stop_task = asyncio.ensure_future(stopped.wait())
        try:
            await asyncio.wait(
                {demonstration, stop_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not demonstration.done():
                return ExitCode.DONE
            demonstration.result()
            if self.option("keep"):
                self._print_addresses(fleet)
                await stop_task
        except (CommandError, TimeoutError, AssertionError) as exc:
            self.line_error(f"the demonstration failed: {exc}")
            return ExitCode.REFUSED
        finally:
            demonstration.cancel()
            await asyncio.gather(demonstration, return_exceptions=True)
            await fleet.stop()
        return ExitCode.DONE

    def _print_addresses(self, fleet: Any) -> None:
        token = fleet.tokens["north"]
        operators = fleet.operators
        self.line("")
        self.line("The fleet keeps running; end it with Ctrl-C.")
        self.line(f"  callers' port of the router:  {fleet.callers}")
        self.line(f"  metrics of the router:        {fleet.router_operators}")
        self.line(f"  operators' API:               {operators}")
        self.line(
            f"  operators' token file:        {fleet.operator_token_file}"
        )
        for name, text in fleet.tokens.items():
            self.line(f"  token of workspace {name}:     {text}")
        self.line("Try:")
        self.line(
            f"  curl -N http://{fleet.callers}/v1/drafts"
            f" -H 'Authorization: Bearer {token}'"
            ' -d \'{"prompt": "a heron", "stream": true}\''
        )
        self.line(f"  curl http://{fleet.router_operators}/metrics")
        self.line(
            f"  waxwingrack status --controllers {operators}"
            f" --token-file {fleet.operator_token_file}"
        )


class _Demonstration:
    """The steps of the demonstration."""

    def __init__(self, fleet: Any, wait_until: Any, show: Any):
        self._fleet = fleet
        self._wait_until = wait_until
        self._show = show
        self._start = time.monotonic()

    async def run(self) -> None:
        """Runs all steps.

        Raises:
          AssertionError: A step did not show the expected result.
          TimeoutError: A step took too long.
          CommandError: A call of the operators' API failed.
        """
        for step in (
            self._start_fleet,
            self._send_requests,
            self._show_refusal,
            self._drain_and_restore,
            self._run_rollout,
        ):
            await step()

    def _title(self, text: str) -> None:
        self._show(f"[{time.monotonic() - self._start:4.1f} s] {text}")

    async def _start_fleet(self) -> None:
        self._title(
            "Starting a controller, a router and four backend servers in two "
            "data centres, and applying an environment."
        )
        await self._fleet.start()
        answer = await self._fleet.call_operators_api(
            "PUT",
            "/v1/environment",
            expected=0,
            environment=self._fleet.environment_document(),
        )
        self._show(f"  environment number {answer['number']} is in force")
        await self._wait_until(self._servers_known(4), "four servers", 10)

    def _servers_known(self, count: int) -> Any:
        async def check() -> bool:
            status = await self._fleet.call_operators_api("GET", "/v1/status")
            return len(status["backend_servers"]) >= count

        return check

    async def _send_requests(self) -> None:
        self._title("Callers of two workspaces send requests to two services.")
        for workspace in self._fleet.tokens:
            status, headers, body = await self._draft(workspace)
            assert status == 200, body
            self._show(
                f"  {workspace}: {status} from {headers['x-backend-server']}, "
                f"{body['usage']['total_tokens']} tokens"
            )
        key = f"{int(time.time())}-demo"
        for attempt in ("first", "second"):
            status, headers, body = await self._send(
                "/booking/deposits", "north", {"amount": 5}, key
            )
            assert (status, body.get("run")) == (200, 1), body
            replay = headers.get("x-idempotent-replay", "false")
            self._show(
                f"  deposit with the same key, {attempt} time: {status}, "
                f"runs so far {body['run']}, stored answer: {replay}"
            )

    async def _show_refusal(self) -> None:
        self._title(
            "A deposit without a key could run twice, so it is refused."
        )
        status, _, body = await self._send(
            "/booking/deposits", "north", {"amount": 5}
        )
        assert status == 400, body
        error = body["error"]
        self._show(
            f"  {status} {error['kind']}, execution {error['execution']}"
        )

    async def _drain_and_restore(self) -> None:
        self._title("An operator drains data centre b and restores it.")
        await self._set_data_centre("drained")
        await asyncio.sleep(DRAIN_TIME_LIMIT_S)
        counts = await self._count_data_centres(20)
        assert set(counts) == {"a"}, counts
        self._show(f"  drained:  {_format_counts(counts)}")
        await self._set_data_centre("in_service")

        async def count_with_b() -> collections.Counter | None:
            counts = await self._count_data_centres(20)
            return counts if "b" in counts else None

        counts = await self._wait_until(
            count_with_b, "work in data centre b again", 10
        )
        self._show(f"  restored: {_format_counts(counts)}")

    async def _set_data_centre(self, state: str) -> None:
        await self._fleet.call_operators_api(
            "PUT", "/v1/data-centres/b", state=state
        )

    async def _count_data_centres(self, count: int) -> collections.Counter:
        answers = await asyncio.gather(
            *(self._draft("south") for _ in range(count))
        )
        assert all(status == 200 for status, _, _ in answers), answers
        return collections.Counter(
            body["data_centre"] for _, _, body in answers
        )

    async def _run_rollout(self) -> None:
        from waxwingrack.commands import demo_fleet

        self._title("Two servers with version v2 start; the traffic moves.")
        await self._fleet.add_servers(demo_fleet.ROLLOUT_SERVERS)
        await self._wait_until(self._servers_known(6), "six servers", 10)
        await self._fleet.call_operators_api(
            "POST",
            "/v1/rollouts",
            plan={
                "id": "sketch-v2",
                "service": "sketch",
                "version": "v2",
                "deadline_s": ROLLOUT_DEADLINE_S,
                "watch_s": ROLLOUT_WATCH_S,
            },
        )
        versions: collections.Counter = collections.Counter()
        callers = [
            asyncio.ensure_future(self._send_drafts(versions))
            for _ in range(BACKGROUND_CALLERS)
        ]
        try:
            await self._wait_until(
                self._rollout_finished(),
                "the end of the rollout",
                ROLLOUT_DEADLINE_S + 5,
            )
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        self._show(f"  answers meanwhile: {_format_counts(versions)}")
        self._title("Done.")

    def _rollout_finished(self) -> Any:
        shown: list[tuple] = []

        async def check() -> bool:
            answer = await self._fleet.call_operators_api("GET", "/v1/rollouts")
            rollout = answer["rollouts"][0]
            state = (rollout["phase"], rollout["share"])
            if state not in shown:
                shown.append(state)
                self._title(
                    f"  rollout {state[0]}, share {state[1]:.0%}: "
                    f"{rollout['reason']}"
                )
            assert state[0] != "taken_back", rollout["reason"]
            return state[0] == "done"

        return check

    async def _send_drafts(self, versions: collections.Counter) -> None:
        while True:
            status, headers, body = await self._draft("north")
            assert status == 200, body
            versions[headers["x-backend-version"]] += 1

    async def _draft(self, workspace: str) -> tuple[int, dict, dict]:
        return await self._send(
            "/v1/drafts", workspace, {"prompt": "a heron at dusk"}
        )

    async def _send(
        self, path: str, workspace: str, body: dict, key: str = ""
    ) -> tuple[int, dict[str, str], dict]:
        # Imported late so that routers and controllers, which import this
        # module, start faster.
        import treq

        loop = asyncio.get_running_loop()
        headers = {"Authorization": f"Bearer {self._fleet.tokens[workspace]}"}
        if key:
            headers["Idempotency-Key"] = key
        response = await treq.post(
            f"http://{self._fleet.callers}{path}",
            json=body,
            headers=headers,
            timeout=10,
        ).asFuture(loop)
        content = await response.content().asFuture(loop)
        response_headers = {
            name.decode().lower(): values[0].decode()
            for name, values in response.headers.getAllRawHeaders()
        }
        return response.code, response_headers, json.loads(content)


def _format_counts(counts: collections.Counter) -> str:
    return ", ".join(
        f"{count} from {name}" for name, count in sorted(counts.items())
    )
