"""Steps for the soak and its checker."""

import contextlib
import io
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from bilberryshed_load._soak import run_soak
from bilberryshed_load._soak_record import ReceivedResponse, SentRequest, SoakRecord

EVENTS = 3
TOKENS_PER_EVENT = 4
PREPAID = 200


@when("a soak of {seconds:d} s with seed {seed:d} is played")
def when_soak(context, seconds, seed):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.record = run_soak(seed, float(seconds), Path(mkdtemp()))
    context.output = output.getvalue()


@then("it has no findings")
def then_none(context):
    assert not context.record.findings, context.output


@then("at least {count:d} of its requests were answered")
def then_answered(context, count):
    responses = [a for a in context.record.responses.values() if a.status == 200]
    assert len(responses) >= count, context.output


def stream(*numbers):
    """Return the bytes of a stream with these events."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@given("the observations of a sound soak")
def given_sound(context):
    record = context.record = SoakRecord(EVENTS, TOKENS_PER_EVENT)
    for sent in (SentRequest("look", True, False), SentRequest("book", False, False)):
        record.sent[sent.id] = sent
        record.runs[sent.id] = 1
        record.responses[sent.id] = ReceivedResponse(
            sent.id, 200, f"answer to {sent.id}".encode(), True
        )
    record.sent["chat"] = SentRequest("chat", True, True, 100)
    record.runs["chat"] = 2
    record.responses["chat"] = ReceivedResponse("chat", 200, stream(1, 2, 3), True)
    record.sent["refused"] = SentRequest("refused", False, False)
    record.responses["refused"] = ReceivedResponse("refused", 503, b"", True)
    record.record_version("gate-1#1", 4)


def chat(record, *numbers, complete=True):
    """Replace the stream of the observations."""
    record.responses["chat"] = ReceivedResponse("chat", 200, stream(*numbers), complete)


CHANGES = {
    "nothing is wrong": lambda r: None,
    "a booking runs twice": lambda r: r.runs.update(book=2),
    "a lookup runs twice": lambda r: r.runs.update(look=2),
    "a request that was refused with 503 ran": lambda r: r.runs.update(refused=1),
    "a request that nobody sent runs": lambda r: r.runs.update(stranger=1),
    "an answer is another request's": lambda r: r.responses.update(
        look=ReceivedResponse("look", 200, b"answer to book", True)
    ),
    "an event of a stream is missing": lambda r: chat(r, 1, 3),
    "an event of a stream comes twice": lambda r: chat(r, 1, 2, 2, 3),
    "a stream that broke off looks whole": lambda r: chat(r, 1, 2),
    "a stream that broke off looks broken": lambda r: chat(r, 1, 2, complete=False),
    "more tokens are used than were paid for": lambda r: r.sent.update(
        chat=SentRequest("chat", True, True, 190)
    ),
    "a gateway serves an older configuration": lambda r: r.record_version("gate-1#1", 3),
    "a gateway that starts anew serves an older one": lambda r: r.record_version("gate-1#2", 3),
    "a planned stop ends with an error": lambda r: r.record_stop("gate-1#1", 1, True),
    "a planned stop is ended by its signal": lambda r: r.record_stop("gate-1#1", -15, True),
    "a stop comes before the start": lambda r: r.record_stop("gate-1#1", -15, False),
    "a planned stop cuts a request off": lambda r: r.record_interrupted("gate-1#1", "look"),
    "work reaches a backend server that has left": lambda r: r.record_late_request("i-1", "look"),
}


@when("it turns out that {broken}")
def when_broken(context, broken):
    CHANGES[broken](context.record)


@then("the checker finds: {finding}")
def then_finds(context, finding):
    found = [str(item) for item in context.record.check(PREPAID)]
    if finding == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and finding in found[0], found
