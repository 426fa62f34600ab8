"""Command `apply`, which applies an environment document."""

from collections.abc import Iterator
from typing import Any
from typing import ClassVar

from cleo import helpers
import pydantic
from returns import result

from waxwingrack.commands import base
from waxwingrack.commands import operators_client
from waxwingrack.commands.exit_codes import CommandError
from waxwingrack.commands.exit_codes import ExitCode
from waxwingrack.core import data
from waxwingrack.load import environment

_ADAPTER = pydantic.TypeAdapter(data.Environment)


class ApplyCommand(base.OperatorsCommand):
    """Applies an environment document."""

    name = "apply"
    description = "Apply an environment document"
    arguments: ClassVar[list] = [helpers.argument("file", "JSON document")]
    options: ClassVar[list] = list(base.CHANGE_OPTIONS)

    async def operate(self, target: operators_client.Target) -> None:
        """See `OperatorsCommand`."""
        match environment.load(self.argument("file")):
            case result.Failure(faults):
                raise CommandError(
                    ExitCode.INVALID, "\n".join(map(str, faults))
                )
            case result.Success(parsed_environment):
                document = _ADAPTER.dump_python(parsed_environment, mode="json")
        body = self.build_change(environment=document)
        if body["expected"] is None:
            current = await operators_client.call(
                target, "GET", "/v1/environment"
            )
            body["expected"] = current["number"]
            self.line(f"changes to number {current['number']}:")
            changes = list_differences(current["environment"] or {}, document)
            for line in list(changes) or ["none"]:
                self.line(f"  {line}")
        self.print_change(
            await operators_client.call(target, "PUT", "/v1/environment", body)
        )


def list_differences(old: Any, new: Any, path: str = "$") -> Iterator[str]:
    """Lists the differences between two documents.

    Args:
      old: Old JSON value.
      new: New JSON value.
      path: JSON path of both values.

    Yields:
      One line for each added, removed or changed value. Objects in arrays are
      matched by their ids.
    """
    old, new = _index_by_id(old), _index_by_id(new)
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if old != new:
            yield f"{path}: {old!r} -> {new!r}"
        return
    for key in dict.fromkeys([*old, *new]):
        item_path = f"{path}{key}" if key.startswith("[") else f"{path}.{key}"
        if key not in new:
            yield f"{item_path}: removed"
        elif key not in old:
            yield f"{item_path}: added"
        else:
            yield from list_differences(old[key], new[key], item_path)


def _index_by_id(value: Any) -> Any:
    if (
        isinstance(value, list)
        and value
        and all(isinstance(item, dict) and "id" in item for item in value)
    ):
        return {f"[{item['id']}]": item for item in value}
    return value
