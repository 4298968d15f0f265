"""Events that arrive in many small parts."""

import tracemalloc

import hypothesis
import hypothesis.strategies as st

from bulrushhold import forwarding

PART = b'x' * 100
PARTS = 2_000


def test_a_long_event_in_small_parts_is_not_copied_with_each():
    # Guards against an engine whose endless event holds up all streams.
    splitter = forwarding.EventSplitter()
    allocated = 0
    tracemalloc.start()
    try:
        for _ in range(PARTS):
            before, _ = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            assert not splitter.feed(PART)
            allocated += tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()
    assert allocated <= 10 * PARTS * len(PART)
    [event] = splitter.feed(b'\n\n')
    assert event.data == PARTS * PART + b'\n\n'


@hypothesis.given(
    st.lists(st.text('a\n', max_size=6).map(str.encode), max_size=8)
)
def test_parts_are_split_where_the_whole_is(parts):
    splitter = forwarding.EventSplitter()
    events = [e.data for part in parts for e in splitter.feed(part)]
    *expected, rest = b''.join(parts).split(b'\n\n')
    assert events == [data + b'\n\n' for data in expected]
    assert splitter.buffer == rest
