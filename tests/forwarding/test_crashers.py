"""Opaque requests that kill the engines they run on, and innocent ones."""

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes


def crashers(near=1):
    return decisions.Crashers(lambda engine, at, within: near)


def kill(made, fingerprint, engines):
    for number, engine in enumerate(engines):
        made.died(fingerprint, engine, float(number))
    made.settle(10.0)


def test_three_engines_that_died_alone_under_a_request_name_it():
    made = crashers()
    kill(made, 'bad', ['i0', 'i1'])
    assert made.refused_for('bad', 10.0) == 0
    kill(made, 'bad', ['i2'])
    assert 0 < made.refused_for('bad', 10.0) <= 60
    assert made.refused_for('other', 10.0) == 0


def test_one_engine_that_dies_again_and_again_names_nobody():
    # A faulty engine resets whatever it gets. That is its own fault.
    made = crashers()
    kill(made, 'innocent', ['i0', 'i0', 'i0', 'i0'])
    assert made.refused_for('innocent', 10.0) == 0


def test_a_lost_data_centre_names_nobody():
    # All engines of a data centre lose power, three times over, and a long
    # stream is moved each time. It is innocent.
    made = crashers(near=5)
    kill(made, 'innocent', ['i0', 'i1', 'i2'])
    assert made.refused_for('innocent', 10.0) == 0


def test_a_request_that_was_served_is_no_crasher():
    made = crashers()
    kill(made, 'same-body', ['i0', 'i1'])
    made.served('same-body')
    kill(made, 'same-body', ['i2'])
    assert made.refused_for('same-body', 10.0) == 0


def test_a_crasher_is_let_in_again_after_a_while():
    # The engines may have been deployed anew by then.
    made = crashers()
    kill(made, 'bad', ['i0', 'i1', 'i2'])
    seconds = made.refused_for('bad', 10.0)
    assert made.refused_for('bad', 10.0 + seconds) == 0


def test_deaths_that_other_entries_saw_count_once_each():
    # The caller sends its request through another entry each time. Entries
    # tell each other through control, which may say a thing twice.
    loads = decisions.LoadAggregator()
    last = crashers()
    for number in range(3):
        made = crashers()
        kill(made, 'bad', [f'i{number}'])
        seen = messages.LoadReport(
            f'e{number}', {}, [], crashes=made.take_pending()
        )
        loads.take(seen, 10.0)
        last.add_reports(loads.others('e9', 0).crashes, 10.0)
        assert bool(last.refused_for('bad', 10.0)) == (number == 2)
    assert made.take_pending() == []


def test_engines_of_one_data_centre_are_counted_together():
    placement = decisions.Placement(None)
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:1', dc, 8)
            for n, dc in enumerate(['dc0', 'dc0', 'dc0', 'dc1'])
        ]
    )
    for ident, at in (('i0', 5.0), ('i1', 5.5), ('i2', 9.0), ('i3', 5.0)):
        placement.backends[ident].lost_at = at
    assert placement.lost_near('i0', 5.0, 1.3) == 2
    assert placement.lost_near('gone', 5.0, 1.3) == 0


async def test_a_crasher_that_comes_again_is_refused_and_others_are_served(
    client, parts, fleet
):
    # A request has cost three engines. Its caller sends it once more: it
    # gets a true "not run" at once, and says when to come back. Another
    # request of the same caller to the same path is served.
    fleet._take(fakes.a_reply())
    forwarder = forwarding.Forwarder(fleet, parts)
    call = fakes.a_job(parts, routes.Kind.IDEMPOTENT).call
    bad = decisions.fingerprint('/a/x', call.key, b'bad')
    parts.crashers.add_reports(
        [messages.CrashReport(bad, f'i{n}') for n in range(3)],
        parts.clock(),
    )
    client.scripts = [fakes.Script()]
    with pytest.raises(errors.RequestError) as caught:
        await forwarder.handle(
            attrs.evolve(call, body=b'bad'), fakes.FakeCaller()
        )
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert 50 < caught.value.retry_after <= 60
    assert client.log == []
    reply = await forwarder.handle(call, fakes.FakeCaller())
    assert reply.status == 200


async def test_an_engine_lost_under_a_stream_is_counted(client, parts):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,), then='crash'),
        fakes.Script(events=(3,)),
    ]
    parts.crashers.lost_near = lambda engine, at, within: 1
    await fakes.stream(parts)
    parts.crashers.settle(parts.clock() + 2.0)
    assert len(parts.crashers.take_pending()) == 2
