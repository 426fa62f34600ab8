"""Steps for settings and environment documents."""

import copy
import json
import pathlib
import re
import tempfile

import behave
from returns import result

from waxwingrack.load import environment
from waxwingrack.load import settings

ENVIRONMENT = {
    "name": "trial",
    "workspaces": [
        {"id": "north", "weight": 2, "token_digests": ["1" * 64]},
        {"id": "south", "weight": 1.5, "token_digests": ["2" * 64]},
    ],
    "services": [
        {
            "id": "sketch",
            "version": "v1",
            "cost_meter": "tokens",
            "routes": [
                {"id": "draft", "path": "/v1/drafts", "idempotent": True},
                {"id": "models", "path": "/v1/models", "methods": ["GET"]},
            ],
        },
        {
            "id": "booking",
            "version": "v1",
            "routes": [{"id": "deposit", "path": "/deposits"}],
        },
    ],
    "data_centres": [
        {"id": "a", "region": "west"},
        {"id": "b", "region": "west", "state": "drained"},
    ],
    "rollouts": [{"id": "move-1", "service": "sketch", "version": "v2"}],
    "announce_token_digests": ["3" * 64],
}


def _address(port):
    return {"host": "127.0.0.1", "port": port}


COMMON = {
    "data_centre": "a",
    "operators": _address(7200),
    "controllers": [
        {
            "id": f"c{number}",
            "control": _address(7100 + number),
            "operators": _address(7110 + number),
        }
        for number in (1, 2, 3)
    ],
    "shared_key_file": "shared.key",
}
SETTINGS = {
    "router": COMMON
    | {"role": "router", "node_id": "r1", "callers": _address(8080)},
    "controller": COMMON
    | {
        "role": "controller",
        "node_id": "c1",
        "control": _address(7101),
        "operators": _address(7111),
        "data_folder": "data",
        "operator_token_file": "token",
    },
}


@behave.given("a valid environment document")
def valid_environment(context):
    context.document = copy.deepcopy(ENVIRONMENT)
    context.check = environment.check


@behave.given("valid settings of a {role}")
def valid_settings(context, role):
    context.document = copy.deepcopy(SETTINGS[role])
    context.check = settings.check


@behave.when("the value at {place} of the document becomes {value}")
def set_value(context, place, value):
    parts = [
        int(index) if index else name
        for name, index in re.findall(r"\.(\w+)|\[(\d+)\]", place)
    ]
    node = context.document
    for part in parts[:-1]:
        node = node[part]
    if value == "absent":
        del node[parts[-1]]
    else:
        node[parts[-1]] = json.loads(value)


@behave.when(
    "the token of the first workspace is given to the second one as well"
)
def duplicate_token(context):
    first, second = context.document["workspaces"]
    second["token_digests"] = first["token_digests"]


@behave.when("a document file with the text {text} is loaded")
def load_text(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "document.json"
        path.write_text(text)
        context.checked = environment.load(str(path))


@behave.when("a document file that does not exist is loaded")
def load_absent(context):
    with tempfile.TemporaryDirectory() as folder:
        context.checked = environment.load(f"{folder}/document.json")


def _faults(context):
    if "checked" not in context:
        context.checked = context.check(context.document, "document.json")
    if isinstance(context.checked, result.Success):
        return ()
    return context.checked.failure()


@behave.then("the document has no fault")
def no_fault(context):
    assert not _faults(context), _faults(context)


@behave.then('the only fault of the document is at {path} with "{rule}"')
def only_fault(context, path, rule):
    faults = _faults(context)
    assert [fault.path for fault in faults] == [path], faults
    assert rule in faults[0].rule, faults


@behave.then("the faults of the document are at")
def faults_at(context):
    expected = [row["path"] for row in context.table]
    found = [fault.path for fault in _faults(context)]
    assert found == expected, found


@behave.then("the fault names the file")
def names_file(context):
    files = {fault.file for fault in _faults(context)}
    assert {pathlib.Path(file).name for file in files} == {"document.json"}
