"""Steps that compare pages and examples with the code."""

import ast
import dataclasses
import hashlib
import json
import pathlib
import re

import behave
from returns import result

from features.steps import commands_steps
from features.support import fleet
from features.support import pages
from waxwingrack.commands import exit_codes
from waxwingrack.commands import main
from waxwingrack.core import data
from waxwingrack.core import errors
from waxwingrack.load import environment
from waxwingrack.load import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Names that the code passes in variables.
COMMANDS = {
    "ApplyEnvironment",
    "ClearOrder",
    "SetDataCentre",
    "StartRollout",
    "TakeBackRollout",
}


def _rows(page, title):
    """Returns the cells of the first table below a heading."""
    text = (ROOT / "docs" / page).read_text()
    section = re.split(rf"^#+ {re.escape(title)}$", text, flags=re.M)[1]
    section = re.split(r"^#", section, flags=re.M)[0]
    lines = re.findall(r"^\|(.*)\|$", section, re.M)[2:]
    return [
        [cell.strip().strip("`") for cell in line.split("|")] for line in lines
    ]


def _default(field):
    if field.default is dataclasses.MISSING:
        return "required"
    if dataclasses.is_dataclass(field.default):
        declared = dataclasses.asdict(field.default).items()
        return json.dumps({k: v for k, v in declared if v is not None})
    return json.dumps(field.default)


@behave.then(
    "the settings page lists exactly the fields and defaults of {name}"
)
def page_lists_fields(_, name):
    expected = {
        (field.name, _default(field))
        for field in dataclasses.fields(getattr(data, name))
    }
    found = {(row[0], row[2]) for row in _rows("settings.md", name)}
    assert found == expected, found ^ expected


@behave.then(
    "the refusals page lists exactly the error kinds with status and execution"
)
def page_lists_kinds(_):
    expected = {
        (str(kind), str(answer.status), str(answer.execution))
        for kind, answer in errors.ANSWERS.items()
    }
    rows = _rows("refusals.md", "Refusals to callers")
    found = {tuple(row[:3]) for row in rows}
    assert found == expected, found ^ expected
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def _logged_events():
    for path in sorted((ROOT / "waxwingrack").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "logs"
                and node.func.attr in ("event", "decision", "failure")
                and isinstance(node.args[0], ast.Constant)
            ):
                yield node.args[0].value


@behave.then("the refusals page lists exactly the events that the code logs")
def page_lists_events(_):
    expected = {*_logged_events()} | COMMANDS
    found = {row[0] for row in _rows("refusals.md", "Log lines")}
    assert found == expected, found ^ expected


@behave.then("the operations page lists exactly the exit codes")
def page_lists_codes(_):
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    table = text.split("| exit code |")[1].split("\n\n")[0]
    found = {int(code) for code in re.findall(r"^\| (\d+) ", table, re.M)}
    assert found == {int(code) for code in exit_codes.ExitCode}, found


def _fault(words):
    """Returns what is wrong with a command line of a page, or an empty text."""
    known = {cmd.name: cmd for cmd in main.build_commands()}
    name = next(
        (x for x in (" ".join(words[1:3]), words[1]) if x in known), None
    )
    if name is None:
        return "no such command"
    rest = words[1 + len(name.split()) :]
    # What the shell takes, such as `2> file &`, is not for the program.
    ends = (at for at, word in enumerate(rest) if word in ("2>", ">", "&"))
    rest = rest[: next(ends, len(rest))]
    definition, arguments, index = known[name].definition, 0, 0
    while index < len(rest):
        option = rest[index].removeprefix("--")
        if option == rest[index]:
            arguments += 1
        elif not definition.has_option(option):
            return f"no option {rest[index]}"
        elif definition.option(option).accepts_value():
            index += 1
        index += 1
    most = definition.argument_count
    if any(argument.is_list() for argument in definition.arguments):
        most = arguments
    if not definition.required_argument_count <= arguments <= most:
        return f"{arguments} arguments"
    return ""


@behave.then("the command lines of {page} fit the command line of the program")
def page_commands_fit(_, page):
    lines = [
        words for words in pages.commands(page) if words[0] == "waxwingrack"
    ]
    assert lines, page
    faults = {" ".join(words): _fault(words) for words in lines}
    assert not any(faults.values()), {k: v for k, v in faults.items() if v}


@behave.then("the example {file} has no fault")
def example_is_valid(_, file):
    path = ROOT / "examples" / file
    module = settings if "role" in json.loads(path.read_text()) else environment
    checked = module.load(str(path))
    assert isinstance(checked, result.Success), checked


def _example(name):
    return environment.load(str(ROOT / f"examples/{name}.json")).unwrap()


@behave.then(
    "the example environment {name} has {count:d} workspaces in {places:d} "
    "data centres of {region}"
)
def example_size(_, name, count, places, region):
    document = _example(name)
    assert len(document.workspaces) == count
    regions = [centre.region for centre in document.data_centres]
    assert regions == [region] * places, regions


@behave.then(
    "the digests of the example environment {name} are those of the "
    "documented tokens"
)
def example_digests(_, name):
    document = _example(name)
    owners = {item.id: item.token_digests for item in document.workspaces}
    owners["announce"] = document.announce_token_digests
    for owner, digests in owners.items():
        token = f"example-{name}-{owner}"
        assert digests == (hashlib.sha256(token.encode()).hexdigest(),), owner


@behave.then(
    "in the example environment {name} only {route} may not be repeated"
)
def example_routes(_, name, route):
    found = {
        f"{service.id}.{item.id}"
        for service in _example(name).services
        for item in service.routes
        if not item.idempotent
    }
    assert found == {route}, found


@behave.when("the metrics of the started {role} process are read")
def read_metrics(context, role):
    with commands_steps.running(context, *commands_steps.PROGRAM, role):
        answer = fleet.request(context.port, "GET", "/metrics", timeout_s=5)
    text = answer.body.decode()
    context.metrics = set(re.findall(r"^# TYPE (waxwingrack_\w+)", text, re.M))


def _metrics_in_code():
    for path in (ROOT / "waxwingrack").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in ("add", "set", "set_total")
                and ast.unparse(node.func.value).endswith("metrics")
                and len(node.args) > 1
                and isinstance(node.args[0], ast.Constant)
            ):
                yield f"waxwingrack_{node.args[0].value}"


@behave.then("the refusals page lists these metrics")
def page_lists_metrics(context):
    listed = {
        row[0]
        for title in ("Controller", "Router")
        for row in _rows("refusals.md", title)
    }
    assert context.metrics, "no metric was served"
    # Some metrics are served only once they have a value.
    context.metrics |= set(_metrics_in_code())
    assert context.metrics <= listed, context.metrics - listed
