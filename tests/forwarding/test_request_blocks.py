"""Duration of blocks, and how other entries learn of them."""

import asyncio
import random

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import crashes
from tests.forwarding import fakes


def test_a_block_expires():
    # The engines may have been redeployed by then.
    detector = crashes.make_detector()
    crashes.add_crashes(detector, 'bad', ['i0', 'i1', 'i2'])
    seconds = detector.remaining_block_s('bad', 10.0)
    assert detector.remaining_block_s('bad', 10.0 + seconds) == 0


def test_an_old_report_ends_its_block_sooner():
    detector = crashes.make_detector()
    detector.add_reports(
        [messages.CrashReport('bad', f'i{n}', 0.1, 20.0) for n in range(3)],
        100.0,
    )
    assert detector.remaining_block_s('bad', 100.0) == 40


def test_a_crash_after_a_block_blocks_again_for_twice_as_long():
    # Guards against three more engines each time that a block ends.
    detector = crashes.make_detector()
    crashes.block_request(detector)
    assert detector.remaining_block_s('bad', 67.0) == 0
    crashes.crash_again(detector, 70.0)
    assert detector.remaining_block_s('bad', 70.0) == 120
    crashes.crash_again(detector, 200.0)
    assert detector.remaining_block_s('bad', 200.0) == 240


def test_a_crash_during_a_block_does_not_block_again():
    # Such a run was on its way as the request was blocked.
    detector = crashes.make_detector()
    crashes.block_request(detector)
    crashes.crash_again(detector, 40.0)
    assert detector.remaining_block_s('bad', 40.0) == 27
    assert detector.remaining_block_s('bad', 67.0) == 0


def test_a_block_long_ago_is_forgotten():
    detector = crashes.make_detector()
    crashes.block_request(detector)
    crashes.crash_again(detector, 7.0 + 60.0 * 12)
    assert detector.remaining_block_s('bad', 7.0 + 60.0 * 12) == 0


def test_a_success_after_a_block_clears_it():
    detector = crashes.make_detector()
    crashes.block_request(detector)
    detector.record_success('bad', 70.0)
    crashes.crash_again(detector, 71.0)
    assert detector.remaining_block_s('bad', 71.0) == 0


def test_a_success_does_not_end_a_block():
    # Guards against one engine that bears a request which crashes others.
    detector = crashes.make_detector()
    crashes.block_request(detector)
    detector.record_success('bad', 8.0)
    assert detector.remaining_block_s('bad', 8.0) > 0


def test_entries_end_a_block_one_after_the_other():
    # Guards against all callers that are tried again at once.
    ends = []
    for seed in range(9):
        detector = decisions.PoisonRequestDetector(
            decisions.EngineLosses(), random.Random(seed)
        )
        crashes.block_request(detector)
        ends.append(7.0 + detector.remaining_block_s('bad', 7.0))
    assert min(ends) > 56.9
    assert max(ends) <= 67.0
    assert max(ends) - min(ends) > 5.0


def test_a_block_reaches_an_entry_that_joins_later():
    # Guards against an entry that knows of no block after its restart.
    loads = decisions.LoadAggregator()
    detector = crashes.make_detector()
    crashes.block_request(detector)
    blocks = detector.take_pending_blocks(7.0)
    loads.add_report(messages.LoadReport('e1', {}, [], blocks=blocks), 7.0)
    joining = crashes.make_detector()
    summary = loads.summary_for('e2', 0, 37.0)
    assert summary.crashes == []
    joining.add_blocks(summary.blocks, 37.0)
    assert joining.remaining_block_s('bad', 37.0) == 30
    loads.expire(67.1)
    assert loads.summary_for('e3', 0, 67.1).blocks == []


def test_blocks_are_reported_again_to_a_process_that_restarted():
    detector = crashes.make_detector()
    crashes.block_request(detector)
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
    crashes.block_request(detector, context.clock() - 61.0)
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
