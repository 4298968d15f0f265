"""Detection of poison requests, which crash the engines they run on."""

import asyncio
import random

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes


SERVICE = 'engines'


class FixedRandom(random.Random):
    """Lets blocks end at all entries at once."""

    def random(self):
        return 0.0


def make_detector(nearby_losses=1):
    """Return a detector; other engines are lost together with each engine."""
    detector = decisions.PoisonRequestDetector(
        decisions.EngineLosses(), FixedRandom()
    )
    detector.nearby_losses = nearby_losses
    return detector


def lose(detector, engine, at, data_centre=''):
    location = (SERVICE, data_centre or f'dc-{engine}')
    detector.losses.record(engine, location, at)
    for number in range(1, getattr(detector, 'nearby_losses', 1)):
        detector.losses.record(f'{engine}-{number}', location, at)


def add_crashes(detector, fingerprint, engines):
    for number, engine in enumerate(engines):
        at = 7.0 + number
        lose(detector, engine, at)
        detector.record_crash(fingerprint, engine, at, 0.1)


def lose_together(detector, engines, at, data_centre='dc0'):
    for engine in engines:
        detector.losses.record(engine, (SERVICE, data_centre), at)


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
    detector.record_success('same-body', 9.0)
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


def make_placement():
    placement = decisions.Placement(None)
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:1', dc, 8)
            for n, dc in enumerate(['dc0', 'dc0', 'dc0', 'dc1'])
        ]
    )
    return placement


def test_losses_are_counted_by_data_centre():
    placement = make_placement()
    for ident, at in (('i0', 5.0), ('i1', 5.5), ('i2', 9.0), ('i3', 5.0)):
        placement.record_failure(ident, at, unreachable=True)
    assert len(placement.losses.near('i0', 5.0)) == 2
    assert placement.losses.near('gone', 5.0) == []


def test_further_failures_of_a_lost_engine_are_no_losses():
    # Guards against engines that are tried again beside a crash and make it
    # look like the loss of their data centre.
    placement = make_placement()
    for at in (1.0, 5.0):
        placement.record_failure('i0', at, unreachable=True)
        placement.record_failure('i1', at, unreachable=True)
    placement.record_failure('i2', 5.0, unreachable=True)
    assert len(placement.losses.near('i2', 5.0)) == 1
    placement.record_success('i0', 6.0, None)
    placement.record_failure('i0', 6.1, unreachable=True)
    assert len(placement.losses.near('i2', 5.0)) == 2


def test_a_crash_counts_at_once():
    # Guards against engines that crash until the crashes are counted.
    detector = make_detector()
    for number in range(3):
        lose(detector, f'i{number}', 7.0)
        detector.record_crash('bad', f'i{number}', 7.0, 0.1)
    assert detector.remaining_block_s('bad', 7.0) == 60


def test_requests_on_engines_lost_together_are_not_blocked_one_by_one():
    # Guards against blocking streams that lose three data centres in turn.
    detector = make_detector()
    for number in range(3):
        at = 5.0 + number
        engines = [f'i{number}-{n}' for n in range(6)]
        lose_together(detector, engines, at, f'dc{number}')
        for stream, engine in enumerate(engines):
            detector.record_crash(f'stream-{stream}', engine, at, 0.9)
    assert not any(
        detector.remaining_block_s(f'stream-{n}', 8.0) for n in range(6)
    )


def test_one_data_centre_that_ran_a_request_everywhere_counts_once():
    # Guards against blocking a request of many callers at once as one data
    # centre fails.
    detector = make_detector()
    engines = [f'i{n}' for n in range(6)]
    lose_together(detector, engines, 5.0)
    for engine in engines:
        detector.record_crash('popular', engine, 5.0, 2.0)
    assert detector.remaining_block_s('popular', 5.0) == 0


def test_engines_that_a_request_crashes_in_turn_count_each():
    # Guards against a data centre whose engines are lost one by one.
    detector = make_detector()
    for number in range(3):
        at = 5.0 + 0.2 * number
        lose_together(detector, [f'i{number}'], at)
        detector.record_crash('bad', f'i{number}', at, 0.1)
    assert detector.remaining_block_s('bad', 6.0)


def test_several_poison_requests_account_for_the_losses_together():
    # Guards against crashes of each that hide those of the others.
    detector = make_detector()
    for centre in range(3):
        engines = [f'i{centre}-{n}' for n in range(6)]
        lose_together(detector, engines, 5.0, f'dc{centre}')
        for number, engine in enumerate(engines):
            detector.record_crash(f'bad-{number % 3}', engine, 5.0, 0.1)
    assert all(detector.remaining_block_s(f'bad-{n}', 5.0) for n in range(3))


def test_streams_of_a_lost_data_centre_are_not_all_reported():
    # Guards against reports of thousands of streams to each entry.
    detector = make_detector()
    engines = [f'i{n}' for n in range(6)]
    lose_together(detector, engines, 5.0)
    for number in range(60):
        detector.record_crash(f's{number}', engines[number % 6], 5.0)
    assert detector.take_pending() == []


def test_a_crash_is_reported_once_another_entry_reports_the_request():
    detector = make_detector()
    lose_together(detector, ['i0', 'i1', 'i2'], 5.0)
    detector.record_crash('bad', 'i0', 5.0, 0.1)
    assert detector.take_pending() == []
    detector.add_reports([messages.CrashReport('bad', 'i1', 0.1)], 5.1)
    assert [report.engine for report in detector.take_pending()] == ['i0']


def test_an_old_report_ends_its_block_sooner():
    detector = make_detector()
    detector.add_reports(
        [messages.CrashReport('bad', f'i{n}', 0.1, 20.0) for n in range(3)],
        100.0,
    )
    assert detector.remaining_block_s('bad', 100.0) == 40


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


async def test_each_engine_lost_by_a_stream_is_reported(client, context):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,), then='crash'),
        fakes.Script(events=(3,)),
    ]
    await fakes.run_stream(context)
    assert len(context.poison_requests.take_pending()) == 2


async def test_each_verdict_on_a_crash_is_logged(client, context, log_records):
    client.scripts = [
        fakes.Script(events=(1,), then='crash'),
        fakes.Script(events=(2,)),
    ]
    detector = context.poison_requests
    detector.on_verdict = forwarding.make_crash_listener(context.metrics)
    await fakes.run_stream(context)
    lose_together(detector, ['a', 'b', 'c'], 5.0)
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


def test_crashes_of_one_data_centre_that_survives_count_each():
    # Guards against streams sent at once whose crashes pass for an outage.
    placement = make_placement()
    detector = decisions.PoisonRequestDetector(placement.losses)
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'10.0.0.{n}:1', 'dc0', 8)
            for n in range(5)
        ]
    )
    for number in range(3):
        at = 5.0 + 0.2 * number
        placement.record_failure(f'i{number}', at, unreachable=True)
        detector.record_crash('bad', f'i{number}', at, 2.0)
    assert detector.remaining_block_s('bad', 5.4) == 0
    assert detector.remaining_block_s('bad', 5.7) > 0


async def test_an_engine_that_is_back_as_another_instance_has_crashed(
    client, context
):
    # Guards against a new instance at the address that hides the crash.
    client.scripts = [
        fakes.Script(events=(1,), then='restart'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    assert len(context.poison_requests.take_pending()) == 1
    assert len(context.placement.pending_losses) == 1


async def test_a_stream_broken_off_by_a_live_engine_is_no_crash(
    client, context
):
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    assert context.poison_requests.take_pending() == []
    assert context.placement.pending_losses == []


@pytest.mark.parametrize('evidence', ['status 421', 'report', 'list'])
async def test_an_engine_found_replaced_after_a_reset_has_crashed(
    client, context, evidence
):
    # Guards against probes that can't tell the instances apart.
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    placement = context.placement
    broken = next(
        backend
        for backend in placement.backends.values()
        if backend.address == client.attempts[0].address
    )
    if evidence == 'status 421':
        placement.mark_replaced(broken.ident)
    elif evidence == 'report':
        placement.apply_loads(
            messages.LoadSummary(1, {}, [], [broken.ident]), context.clock()
        )
    else:
        placement.update(
            [
                messages.ListedBackend(
                    f'new-{backend.ident}'
                    if backend is broken
                    else backend.ident,
                    backend.service,
                    backend.address,
                    backend.data_centre,
                    backend.slots,
                )
                for backend in placement.backends.values()
            ]
        )
    reports = context.poison_requests.take_pending()
    assert [report.engine for report in reports] == [broken.ident]
    assert placement.pending_losses == [broken.ident]


async def test_an_engine_that_left_as_announced_has_not_crashed(
    client, context
):
    client.scripts = [
        fakes.Script(events=(1,), then='reset'),
        fakes.Script(events=(2,)),
    ]
    await fakes.run_stream(context)
    placement = context.placement
    for backend in placement.backends.values():
        backend.leaving = True
    placement.update([])
    assert context.poison_requests.take_pending() == []


@pytest.mark.parametrize('kind', [routes.Kind.IDEMPOTENT, routes.Kind.ONCE])
@pytest.mark.parametrize('step', ['send', 'answer'])
async def test_a_server_that_crashes_under_a_plain_request_is_reported(
    client, context, kind, step
):
    # Guards against crashes that only streams record.
    client.scripts = [fakes.Script(then='crash'), fakes.Script()]
    if step == 'send':
        client.scripts[0].error = 'send'
        client.dead.update(
            backend.address for backend in context.placement.backends.values()
        )
    if kind is routes.Kind.ONCE:
        with pytest.raises(errors.RequestError):
            await fakes.run_plain(context, kind)
    else:
        await fakes.run_plain(context, kind)
    assert len(context.poison_requests.take_pending()) == 1
    assert len(context.placement.pending_losses) == 1


@pytest.mark.parametrize('step', ['connect', 'send'])
async def test_a_server_that_still_listens_or_got_nothing_has_not_crashed(
    client, context, step
):
    client.scripts = [fakes.Script(error=step), fakes.Script()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    assert context.poison_requests.take_pending() == []


async def test_a_plain_request_whose_server_was_replaced_is_reported(
    client, context
):
    client.scripts = [fakes.Script(error='send'), fakes.Script()]
    await fakes.run_plain(context, routes.Kind.IDEMPOTENT)
    context.placement.mark_replaced(client.attempts[0].instance)
    assert len(context.poison_requests.take_pending()) == 1


def block(detector, at=7.0):
    for number in range(3):
        lose(detector, f'i{number}', at)
        detector.record_crash('bad', f'i{number}', at, 0.1)


def crash_again(detector, at):
    lose(detector, f'i-{at}', at)
    detector.record_crash('bad', f'i-{at}', at, 0.1)


def test_a_crash_after_a_block_blocks_again_for_twice_as_long():
    # Guards against three more engines each time that a block ends.
    detector = make_detector()
    block(detector)
    assert detector.remaining_block_s('bad', 67.0) == 0
    crash_again(detector, 70.0)
    assert detector.remaining_block_s('bad', 70.0) == 120
    crash_again(detector, 200.0)
    assert detector.remaining_block_s('bad', 200.0) == 240


def test_a_crash_during_a_block_does_not_block_again():
    # Such a run was on its way as the request was blocked.
    detector = make_detector()
    block(detector)
    crash_again(detector, 40.0)
    assert detector.remaining_block_s('bad', 40.0) == 27
    assert detector.remaining_block_s('bad', 67.0) == 0


def test_a_block_long_ago_is_forgotten():
    detector = make_detector()
    block(detector)
    crash_again(detector, 7.0 + 60.0 * 12)
    assert detector.remaining_block_s('bad', 7.0 + 60.0 * 12) == 0


def test_a_success_after_a_block_clears_it():
    detector = make_detector()
    block(detector)
    detector.record_success('bad', 70.0)
    crash_again(detector, 71.0)
    assert detector.remaining_block_s('bad', 71.0) == 0


def test_a_success_does_not_end_a_block():
    # Guards against one engine that bears a request which crashes others.
    detector = make_detector()
    block(detector)
    detector.record_success('bad', 8.0)
    assert detector.remaining_block_s('bad', 8.0) > 0


def test_entries_end_a_block_one_after_the_other():
    # Guards against all callers that are tried again at once.
    ends = []
    for seed in range(9):
        detector = decisions.PoisonRequestDetector(
            decisions.EngineLosses(), random.Random(seed)
        )
        block(detector)
        ends.append(7.0 + detector.remaining_block_s('bad', 7.0))
    assert min(ends) > 56.9
    assert max(ends) <= 67.0
    assert max(ends) - min(ends) > 5.0


def test_a_block_reaches_an_entry_that_joins_later():
    # Guards against an entry that knows of no block after its restart.
    loads = decisions.LoadAggregator()
    detector = make_detector()
    block(detector)
    blocks = detector.take_pending_blocks(7.0)
    loads.add_report(messages.LoadReport('e1', {}, [], blocks=blocks), 7.0)
    joining = make_detector()
    summary = loads.summary_for('e2', 0, 37.0)
    assert summary.crashes == []
    joining.add_blocks(summary.blocks, 37.0)
    assert joining.remaining_block_s('bad', 37.0) == 30
    loads.expire(67.1)
    assert loads.summary_for('e3', 0, 67.1).blocks == []


def test_blocks_are_reported_again_to_a_process_that_restarted():
    detector = make_detector()
    block(detector)
    detector.take_pending_blocks(7.0)
    assert detector.take_pending_blocks(8.0) == []
    detector.report_all_blocks()
    (reported,) = detector.take_pending_blocks(37.0)
    assert reported == messages.RequestBlock('bad', 30.0, 60.0)


def test_a_block_reported_by_all_entries_is_passed_on_once():
    loads = decisions.LoadAggregator()
    for number in range(9):
        blocks = [messages.RequestBlock('bad', 60.0, 60.0)]
        report = messages.LoadReport(f'e{number}', {}, [], blocks=blocks)
        is_new = loads.add_report(report, 10.0 + 0.05 * number)
        assert is_new == (number == 0)


async def test_one_request_at_a_time_is_tried_again_after_a_block(
    client, context
):
    # Guards against callers that were told the same end of a block.
    detector = context.poison_requests
    block(detector, context.clock() - 61.0)
    detector.blocks.add('bad', context.clock() - 61.0, context.clock() - 61.0)
    client.scripts = [fakes.Script(open_delay_s=30.0)]
    job = attrs.evolve(
        fakes.make_job(context, routes.Kind.STREAM), fingerprint='bad'
    )
    forwarding.refuse_blocked(context, 'bad', 'engines')
    first = asyncio.ensure_future(
        forwarding.StreamForwarder(context, job, fakes.FakeCaller()).run()
    )
    await asyncio.sleep(0.02)
    with pytest.raises(errors.RequestError) as caught:
        forwarding.refuse_blocked(context, 'bad', 'engines')
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    forwarding.refuse_blocked(context, 'bad', 'engines')


def test_a_data_centre_that_is_lost_again_and_again_blocks_no_request():
    # Guards against engines that answer nothing between two outages, whose
    # later losses would pass for crashes one by one.
    placement = make_placement()
    detector = decisions.PoisonRequestDetector(placement.losses)
    for number in range(4):
        at = 5.0 + 4.0 * number
        for engine in ('i0', 'i1', 'i2'):
            placement.record_failure(engine, at, unreachable=True)
        for stream in range(6):
            detector.record_crash(
                f's{stream}', f'i{(stream + number) % 3}', at
            )
    assert not any(detector.remaining_block_s(f's{n}', 20.0) for n in range(6))


def test_an_instance_that_has_not_started_yet_is_no_loss():
    # Guards against crashes that pass for an outage as the next instances at
    # the engines' addresses are tried too soon.
    placement = make_placement()
    detector = decisions.PoisonRequestDetector(placement.losses)
    for number in range(3):
        at = 5.0 + 0.4 * number
        placement.record_failure(f'i{number}', at, unreachable=True)
        detector.record_crash('bad', f'i{number}', at, 0.2)
        placement.update(
            [
                messages.ListedBackend(
                    f'new{n}' if n <= number else f'i{n}',
                    's',
                    f'10.0.0.{n}:1',
                    'dc0',
                    8,
                )
                for n in range(4)
            ]
        )
        placement.record_failure(f'new{number}', at + 0.1, unreachable=True)
    assert detector.remaining_block_s('bad', 6.0) > 0
