"""Detection of poison requests, which crash the engines they run on."""

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes


def make_detector(nearby_losses=1):
    return decisions.PoisonRequestDetector(
        lambda engine, at, within: nearby_losses
    )


def add_crashes(detector, fingerprint, engines):
    for number, engine in enumerate(engines):
        detector.record_crash(fingerprint, engine, float(number))
    detector.confirm_crashes(10.0)


def test_a_request_that_crashed_three_engines_is_blocked():
    detector = make_detector()
    add_crashes(detector, 'bad', ['i0', 'i1'])
    assert detector.remaining_block_s('bad', 10.0) == 0
    add_crashes(detector, 'bad', ['i2'])
    assert 0 < detector.remaining_block_s('bad', 10.0) <= 60
    assert detector.remaining_block_s('other', 10.0) == 0


def test_repeated_crashes_of_one_engine_block_no_request():
    # A faulty engine fails under any request.
    detector = make_detector()
    add_crashes(detector, 'innocent', ['i0', 'i0', 'i0', 'i0'])
    assert detector.remaining_block_s('innocent', 10.0) == 0


def test_correlated_losses_block_no_request():
    # Each time, the whole data centre fails together with the engine.
    detector = make_detector(nearby_losses=5)
    add_crashes(detector, 'innocent', ['i0', 'i1', 'i2'])
    assert detector.remaining_block_s('innocent', 10.0) == 0


def test_a_success_clears_the_crashes_of_a_request():
    detector = make_detector()
    add_crashes(detector, 'same-body', ['i0', 'i1'])
    detector.record_success('same-body')
    add_crashes(detector, 'same-body', ['i2'])
    assert detector.remaining_block_s('same-body', 10.0) == 0


def test_a_block_expires():
    # The engines may have been redeployed by then.
    detector = make_detector()
    add_crashes(detector, 'bad', ['i0', 'i1', 'i2'])
    seconds = detector.remaining_block_s('bad', 10.0)
    assert detector.remaining_block_s('bad', 10.0 + seconds) == 0


def test_crash_reports_of_other_entries_count_once_each():
    # Control may deliver the same report more than once.
    loads = decisions.LoadAggregator()
    receiver = make_detector()
    for number in range(3):
        detector = make_detector()
        add_crashes(detector, 'bad', [f'i{number}'])
        report = messages.LoadReport(
            f'e{number}', {}, [], crashes=detector.take_pending()
        )
        loads.add_report(report, 10.0)
        receiver.add_reports(loads.summary_for('e9', 0).crashes, 10.0)
        assert bool(receiver.remaining_block_s('bad', 10.0)) == (number == 2)
    assert detector.take_pending() == []


def test_losses_are_counted_by_data_centre():
    placement = decisions.Placement(None)
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:1', dc, 8)
            for n, dc in enumerate(['dc0', 'dc0', 'dc0', 'dc1'])
        ]
    )
    for ident, at in (('i0', 5.0), ('i1', 5.5), ('i2', 9.0), ('i3', 5.0)):
        placement.backends[ident].lost_at = at
    assert placement.count_losses_near('i0', 5.0, 1.3) == 2
    assert placement.count_losses_near('gone', 5.0, 1.3) == 0


async def test_a_poison_request_is_refused_and_others_are_served(
    client, context, fleet
):
    # Guards against losing further engines to a known poison request, and
    # against blocking other requests of its caller.
    fleet._apply_reply(fakes.make_reply())
    forwarder = forwarding.Forwarder(fleet, context)
    call = fakes.make_job(context, routes.Kind.IDEMPOTENT).call
    poison = decisions.fingerprint('/a/x', call.key, b'bad')
    context.poison_requests.add_reports(
        [messages.CrashReport(poison, f'i{n}') for n in range(3)],
        context.clock(),
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


async def test_each_engine_lost_by_a_stream_is_reported(client, context):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,), then='crash'),
        fakes.Script(events=(3,)),
    ]
    context.poison_requests.count_losses_near = lambda engine, at, within: 1
    await fakes.run_stream(context)
    context.poison_requests.confirm_crashes(context.clock() + 2.0)
    assert len(context.poison_requests.take_pending()) == 2


async def test_each_verdict_on_a_crash_is_logged(client, context, log_records):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,), then='crash'),
        fakes.Script(events=(3,)),
    ]
    detector = context.poison_requests
    detector.on_verdict = forwarding.make_crash_listener(context.metrics)
    losses = iter([1, 5])
    detector.count_losses_near = lambda engine, at, within: next(losses)
    await fakes.run_stream(context)
    detector.confirm_crashes(context.clock() + 2.0)
    detector.add_reports(
        [messages.CrashReport('', f'i{n}') for n in range(3)], context.clock()
    )
    detector.record_success('')
    logged = [
        record['decision']
        for record in log_records
        if record.get('decision') in {v.value for v in decisions.Verdict}
    ]
    assert logged == [
        'crash counted',
        'crash set aside',
        'crash counted',
        'crash counted',
        'request blocked',
        'request cleared',
    ]
