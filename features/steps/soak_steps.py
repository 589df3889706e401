"""Steps for the soak test and its checker."""

import contextlib
import io
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from bilberryshed_load._soak import run_soak
from bilberryshed_load._soak_record import ReceivedResponse, SentRequest, SoakRecord

EVENTS = 3
TOKENS_PER_EVENT = 4
PREPAID = 200  # tokens


@when("a soak of {seconds:d} s with seed {seed:d} is run")
def when_soak(context, seconds, seed):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.record = run_soak(seed, float(seconds), Path(mkdtemp()))
    context.output = output.getvalue()


@then("it has no findings")
def then_no_findings(context):
    assert not context.record.findings, context.output


@then("at least {count:d} of its requests returned 200")
def then_answered(context, count):
    responses = [r for r in context.record.responses.values() if r.status == 200]
    assert len(responses) >= count, context.output


def event_stream(*numbers):
    """Return the encoded event stream with these event ids."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@given("the observations of a soak without violations")
def given_record_without_violations(context):
    record = context.record = SoakRecord(EVENTS, TOKENS_PER_EVENT)
    for sent in (SentRequest("look", True, False), SentRequest("book", False, False)):
        record.sent[sent.id] = sent
        record.runs[sent.id] = 1
        record.responses[sent.id] = ReceivedResponse(
            sent.id, 200, f"answer to {sent.id}".encode(), True
        )
    record.sent["chat"] = SentRequest("chat", True, True, 100)
    record.runs["chat"] = 2
    record.responses["chat"] = ReceivedResponse("chat", 200, event_stream(1, 2, 3), True)
    record.sent["refused"] = SentRequest("refused", False, False)
    record.responses["refused"] = ReceivedResponse("refused", 503, b"", True)
    record.record_version("gate-1#1", 4)


def take_up(record, version):
    """Have the caller of a truncated stream take it up again, at a version."""
    record.responses["chat"] = ReceivedResponse("chat", 200, b"id: 1\ndata: x of v1\n\n", False)
    record.sent["rest"] = SentRequest("rest", True, True, 10, "chat", 1)
    events = b"".join(b"id: %d\ndata: x of %s\n\n" % (n, version) for n in (2, 3))
    record.responses["rest"] = ReceivedResponse("rest", 200, events, True)


def replace_stream(record, *numbers, complete=True):
    """Replace the received stream in the observations."""
    record.responses["chat"] = ReceivedResponse("chat", 200, event_stream(*numbers), complete)


CHANGES = {
    "nothing changes": lambda r: None,
    "a booking runs twice": lambda r: r.runs.update(book=2),
    "a lookup runs twice": lambda r: r.runs.update(look=2),
    "a request refused with 503 is executed": lambda r: r.runs.update(refused=1),
    "a request that was never sent is executed": lambda r: r.runs.update(stranger=1),
    "a response belongs to another request": lambda r: r.responses.update(
        look=ReceivedResponse("look", 200, b"answer to book", True)
    ),
    "an event of a stream is missing": lambda r: replace_stream(r, 1, 3),
    "an event of a stream is repeated": lambda r: replace_stream(r, 1, 2, 2, 3),
    "a truncated stream appears complete": lambda r: replace_stream(r, 1, 2),
    "a truncated stream appears truncated": lambda r: replace_stream(r, 1, 2, complete=False),
    "a stream is taken up at the version that began it": lambda r: take_up(r, b"v1"),
    "a stream is taken up at another version": lambda r: take_up(r, b"v2"),
    "more tokens are used than were paid for": lambda r: r.sent.update(
        chat=SentRequest("chat", True, True, 190)
    ),
    "a gateway serves an older configuration": lambda r: r.record_version("gate-1#1", 3),
    "a restarted gateway serves an older one": lambda r: r.record_version("gate-1#2", 3),
    "a planned stop ends with an error": lambda r: r.record_stop("gate-1#1", 1, True),
    "a planned stop is terminated by its signal": lambda r: r.record_stop("gate-1#1", -15, True),
    "a stop precedes the start of serving": lambda r: r.record_stop("gate-1#1", -15, False),
    "a planned stop interrupts a request": lambda r: r.record_interrupted("gate-1#1", "look"),
    "a request reaches a drained backend server": lambda r: r.record_late_request("i-1", "look"),
}


@when("the observations change so that {change}")
def when_record_changed(context, change):
    CHANGES[change](context.record)


@then("the checker reports: {finding}")
def then_finding(context, finding):
    found = [str(item) for item in context.record.check(PREPAID)]
    if finding == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and finding in found[0], found
