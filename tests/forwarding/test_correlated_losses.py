"""Engines lost together, by an outage or by poison requests."""

from bulrushhold import decisions
from bulrushhold import messages
from tests.forwarding import crashes


def test_correlated_losses_block_no_request():
    # Each time, the whole data centre fails together with the engine.
    detector = crashes.make_detector(nearby_losses=5)
    crashes.add_crashes(detector, 'innocent', ['i0', 'i1', 'i2'])
    assert detector.remaining_block_s('innocent', 10.0) == 0


def test_losses_are_counted_by_data_centre():
    placement = crashes.make_placement()
    for ident, at in (('i0', 5.0), ('i1', 5.5), ('i2', 9.0), ('i3', 5.0)):
        placement.record_failure(ident, at, unreachable=True)
    assert len(placement.losses.near('i0', 5.0)) == 2
    assert placement.losses.near('gone', 5.0) == []


def test_further_failures_of_a_lost_engine_are_no_losses():
    # Guards against engines that are tried again beside a crash and make it
    # look like the loss of their data centre.
    placement = crashes.make_placement()
    for at in (1.0, 5.0):
        placement.record_failure('i0', at, unreachable=True)
        placement.record_failure('i1', at, unreachable=True)
    placement.record_failure('i2', 5.0, unreachable=True)
    assert len(placement.losses.near('i2', 5.0)) == 1
    placement.record_success('i0', 6.0, None)
    placement.record_failure('i0', 6.1, unreachable=True)
    assert len(placement.losses.near('i2', 5.0)) == 2


def test_requests_on_engines_lost_together_are_not_blocked_one_by_one():
    # Guards against blocking streams that lose three data centres in turn.
    detector = crashes.make_detector()
    for number in range(3):
        at = 5.0 + number
        engines = [f'i{number}-{n}' for n in range(6)]
        crashes.lose_together(detector, engines, at, f'dc{number}')
        for stream, engine in enumerate(engines):
            detector.record_crash(f'stream-{stream}', engine, at, 0.9)
    assert not any(
        detector.remaining_block_s(f'stream-{n}', 8.0) for n in range(6)
    )


def test_one_data_centre_that_ran_a_request_everywhere_counts_once():
    # Guards against blocking a request of many callers at once as one data
    # centre fails.
    detector = crashes.make_detector()
    engines = [f'i{n}' for n in range(6)]
    crashes.lose_together(detector, engines, 5.0)
    for engine in engines:
        detector.record_crash('popular', engine, 5.0, 2.0)
    assert detector.remaining_block_s('popular', 5.0) == 0


def test_engines_that_a_request_crashes_in_turn_count_each():
    # Guards against a data centre whose engines are lost one by one.
    detector = crashes.make_detector()
    for number in range(3):
        at = 5.0 + 0.2 * number
        crashes.lose_together(detector, [f'i{number}'], at)
        detector.record_crash('bad', f'i{number}', at, 0.1)
    assert detector.remaining_block_s('bad', 6.0)


def test_several_poison_requests_account_for_the_losses_together():
    # Guards against crashes of each that hide those of the others.
    detector = crashes.make_detector()
    for centre in range(3):
        engines = [f'i{centre}-{n}' for n in range(6)]
        crashes.lose_together(detector, engines, 5.0, f'dc{centre}')
        for number, engine in enumerate(engines):
            detector.record_crash(f'bad-{number % 3}', engine, 5.0, 0.1)
    assert all(detector.remaining_block_s(f'bad-{n}', 5.0) for n in range(3))


def test_streams_of_a_lost_data_centre_are_not_all_reported():
    # Guards against reports of thousands of streams to each entry.
    detector = crashes.make_detector()
    engines = [f'i{n}' for n in range(6)]
    crashes.lose_together(detector, engines, 5.0)
    for number in range(60):
        detector.record_crash(f's{number}', engines[number % 6], 5.0)
    assert detector.take_pending() == []


def test_a_crash_is_reported_once_another_entry_reports_the_request():
    detector = crashes.make_detector()
    crashes.lose_together(detector, ['i0', 'i1', 'i2'], 5.0)
    detector.record_crash('bad', 'i0', 5.0, 0.1)
    assert detector.take_pending() == []
    detector.add_reports([messages.CrashReport('bad', 'i1', 0.1)], 5.1)
    assert [report.engine for report in detector.take_pending()] == ['i0']


def test_crashes_of_one_data_centre_that_survives_count_each():
    # Guards against streams sent at once whose crashes pass for an outage.
    placement = crashes.make_placement()
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


def test_a_data_centre_that_is_lost_again_and_again_blocks_no_request():
    # Guards against engines that answer nothing between two outages, whose
    # later losses would pass for crashes one by one.
    placement = crashes.make_placement()
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
    placement = crashes.make_placement()
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
