"""Tests of the order in which client connections give way."""

from bulrushhold import decisions

KB = 1 << 10
Stage = decisions.ClientStage
NOW = 100.0


def states(**items):
    return [
        (name, decisions.ClientState(stage, held, NOW - stalled_s))
        for name, (stage, held, stalled_s) in items.items()
    ]


def test_memory_is_freed_by_what_holds_most_for_longest():
    connections = states(
        long_small=(Stage.RECEIVING, 10 * KB, 30.0),
        long_large=(Stage.RECEIVING, 900 * KB, 30.0),
        large=(Stage.RECEIVING, 900 * KB, 2.0),
        moving=(Stage.RECEIVING, 4000 * KB, 0.5),
        unread=(Stage.SENDING, 500 * KB, 10.0),
        read=(Stage.SENDING, 500 * KB, 1.0),
        answering=(Stage.ANSWERING, 900 * KB, 60.0),
        kept=(Stage.KEPT, 0, 60.0),
    )
    assert decisions.free_memory_order(connections, NOW) == [
        'long_large',
        'unread',
        'large',
        'long_small',
    ]


def test_ordinary_requests_do_not_give_way_to_large_ones():
    connections = states(
        large=(Stage.RECEIVING, 900 * KB, 0.0),
        larger=(Stage.RECEIVING, 4000 * KB, 0.0),
        ordinary=(Stage.RECEIVING, 4 * KB, 0.0),
        answering=(Stage.ANSWERING, 900 * KB, 0.0),
    )
    assert decisions.large_requests(connections) == ['larger', 'large']


def test_places_are_freed_by_the_stalled_then_the_kept_then_the_new():
    """Guards against closing connections whose requests are being handled."""
    connections = states(
        answering=(Stage.ANSWERING, 0, 90.0),
        read=(Stage.SENDING, 0, 1.0),
        new=(Stage.UNUSED, 0, 0.1),
        moving=(Stage.RECEIVING, 0, 0.2),
        kept=(Stage.KEPT, 0, 5.0),
        kept_longer=(Stage.KEPT, 0, 10.0),
        silent=(Stage.UNUSED, 0, 2.0),
        half=(Stage.RECEIVING, 0, 3.0),
        refused=(Stage.DISCARDING, 0, 0.0),
    )
    assert decisions.free_place_order(connections, NOW) == [
        'half',
        'silent',
        'refused',
        'kept_longer',
        'kept',
        'moving',
        'new',
    ]
