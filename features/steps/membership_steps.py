"""Steps for the decisions on membership changes."""

import behave

from waxwingrack.core import data
from waxwingrack.operations import membership


def _id(text):
    number, _, disk = text.partition("-")
    return membership.node_id(data.Address(f"10.0.0.{number}", 7400), disk)


def _ids(text):
    return tuple(_id(part) for part in text.split() if part != "-")


@behave.given("the members {members} of a group of {size:d}")
def members(context, members, size):
    context.members = _ids(members)
    context.size = size


@behave.given("the members {silent} silent for {ms:d} ms")
def silence(context, silent, ms):
    context.silence_ms = dict.fromkeys(context.members, 0)
    context.silence_ms |= dict.fromkeys(_ids(silent), ms)


@behave.when("the controllers {joining} ask to join")
def ask(context, joining):
    context.change = membership.next_change(
        context.members, context.silence_ms, _ids(joining), context.size
    )


@behave.then("the next change is none")
def no_change(context):
    assert context.change is None, context.change


@behave.then("the next change {verb} {name}")
def one_change(context, verb, name):
    expected = (
        {*context.members, _id(name)}
        if verb == "adds"
        else {*context.members} - {_id(name)}
    )
    assert set(context.change.members) == expected, context.change
    assert context.change.reason


@behave.then('the controller "{name}" has the control address "{address}"')
def address_of(_, name, address):
    found = membership.control_address(name)
    assert str(found).lower() == address, found
