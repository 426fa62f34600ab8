"""Steps for the message codec."""

import json

import behave
import cbor2
from returns import result

from waxwingrack.core import data
from waxwingrack.core import messages


@behave.when("the frame {frame} is decoded as a message")
def decode_frame(context, frame):
    context.decoded = messages.CODEC.decode(cbor2.dumps(json.loads(frame)))


@behave.then('decoding fails with a reason that contains "{reason}"')
def check_decoding_failure(context, reason):
    assert isinstance(context.decoded, result.Failure), context.decoded
    assert reason in context.decoded.failure().reason, context.decoded


@behave.when(
    "a router report with a queued request and an announcement is encoded and "
    "decoded"
)
def encode_and_decode_report(context):
    context.original = messages.RouterReport(
        sent_ms=5,
        environment_number=3,
        wants=(data.QueuedRequest(1, "planners", "sketch", "draft"),),
        announcements=(
            data.Announcement(
                server_id="s1",
                incarnation="a",
                address=data.Address("127.0.0.1", 80),
                service="sketch",
                version="v1",
                data_centre="a",
                slots=4,
                cache_events=(data.CacheEvent(1, "p", True),),
            ),
        ),
    )
    blob = messages.CODEC.encode(context.original)
    context.decoded = messages.CODEC.decode(blob)


@behave.then("the decoded message equals the original")
def check_equals_original(context):
    assert context.decoded.unwrap() == context.original, context.decoded
