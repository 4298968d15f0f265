"""Detection of poison requests, which crash the engines they run on."""

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import crashes
from tests.forwarding import fakes


def test_a_request_that_crashed_three_engines_is_blocked():
    detector = crashes.make_detector()
    crashes.add_crashes(detector, 'bad', ['i0', 'i1'])
    assert detector.remaining_block_s('bad', 10.0) == 0
    crashes.add_crashes(detector, 'bad', ['i2'])
    assert 0 < detector.remaining_block_s('bad', 10.0) <= 60
    assert detector.remaining_block_s('other', 10.0) == 0


def test_repeated_crashes_of_one_engine_block_no_request():
    # A faulty engine fails under any request.
    detector = crashes.make_detector()
    crashes.add_crashes(detector, 'innocent', ['i0', 'i0', 'i0', 'i0'])
    assert detector.remaining_block_s('innocent', 10.0) == 0


def test_a_success_clears_the_crashes_of_a_request():
    detector = crashes.make_detector()
    crashes.add_crashes(detector, 'same-body', ['i0', 'i1'])
    detector.record_success('same-body', 9.0)
    crashes.add_crashes(detector, 'same-body', ['i2'])
    assert detector.remaining_block_s('same-body', 10.0) == 0


def test_crash_reports_of_other_entries_count_once_each():
    # Control may deliver the same report more than once.
    loads = decisions.LoadAggregator()
    receiver = crashes.make_detector()
    for number in range(3):
        detector = crashes.make_detector()
        crashes.add_crashes(detector, 'bad', [f'i{number}'])
        report = messages.LoadReport(
            f'e{number}', {}, [], crashes=detector.take_pending()
        )
        loads.add_report(report, 10.0)
        receiver.add_reports(loads.summary_for('e9', 0).crashes, 10.0)
        assert bool(receiver.remaining_block_s('bad', 10.0)) == (number == 2)
    assert detector.take_pending() == []


def test_a_crash_counts_at_once():
    # Guards against engines that crash until the crashes are counted.
    detector = crashes.make_detector()
    for number in range(3):
        crashes.lose(detector, f'i{number}', 7.0)
        detector.record_crash('bad', f'i{number}', 7.0, 0.1)
    assert detector.remaining_block_s('bad', 7.0) == 60


def test_a_crash_reported_twice_with_different_ages_is_passed_on_once():
    loads = decisions.LoadAggregator()
    for age_s in (0.0, 0.2):
        crash = messages.CrashReport('bad', 'i0', 0.1, age_s)
        loads.add_report(
            messages.LoadReport('e1', {}, [], crashes=[crash]), 10.0 + age_s
        )
    crashes = loads.summary_for('e2', 0, 10.5).crashes
    assert crashes == [messages.CrashReport('bad', 'i0', 0.1, 0.5)]


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


async def test_each_verdict_on_a_crash_is_logged(client, context, log_records):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,)),
    ]
    detector = context.poison_requests
    detector.on_verdict = forwarding.make_crash_listener(context.metrics)
    await fakes.run_stream(context)
    crashes.lose_together(detector, ['a', 'b', 'c'], 5.0)
    detector.record_crash('s', 'a', 5.0)
    now = context.clock()
    detector.add_reports(
        [messages.CrashReport('bad', f'lost-{n}') for n in range(3)], now
    )
    detector.record_success('s', now)
    logged = [
        record['decision']
        for record in log_records
        if record.get('decision') in {v.value for v in decisions.Verdict}
    ]
    assert logged == [
        'crash counted',
        'request cleared',
        'crash set aside',
        'crash counted',
        'crash counted',
        'request blocked',
        'request cleared',
    ]
