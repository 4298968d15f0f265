"""The measured speed of busy engines."""

import pytest

from bulrushhold import decisions

PROMPT = 8000
TOKEN_S = 0.000125
PRIOR_S = 0.75 * TOKEN_S
STEP_S = 0.1


def room(number, reading, slowness=1.0):
    return decisions.EngineRoom(f'i{number}', reading, 1, 0, 8, 0, slowness)


def measure(seconds, slowness=1.0, queued=2, engines=4):
    """Let engines read one prompt after the other, with others queued."""
    rate, tokens, now = decisions.ReadRate(), 0.0, 0.0
    read = [number * PROMPT / engines for number in range(engines)]
    rooms = [room(n, queued * PROMPT, slowness) for n in range(engines)]
    while now < seconds:
        now += STEP_S
        tokens *= 0.5 ** (STEP_S / 5.0)
        for number in range(engines):
            read[number] += STEP_S / (TOKEN_S * slowness)
            if read[number] >= PROMPT:
                read[number] -= PROMPT
                tokens += PROMPT
        rate.update(rooms, tokens, now)
    return rate, now


@pytest.mark.parametrize('slowness', [0.8, 1.0, 2.0])
@pytest.mark.parametrize('queued', [1, 3])
def test_prompts_queued_at_an_engine_do_not_change_its_speed(slowness, queued):
    # Guards against a capacity that is too high once prompts are queued.
    rate, _ = measure(20.0, slowness, queued)
    assert rate.token_s(PRIOR_S) == pytest.approx(TOKEN_S, rel=0.15)


def test_idle_engines_do_not_look_slow():
    rate, now = measure(10.0)
    before = rate.token_s(PRIOR_S)
    tokens = rate.tokens
    for _ in range(20):
        now += STEP_S
        tokens *= 0.5 ** (STEP_S / 5.0)
        rate.update([room(0, 0)], tokens, now)
    assert rate.token_s(PRIOR_S) == pytest.approx(before, rel=0.1)


@pytest.mark.parametrize('tokens', [0.0, 1e6])
def test_a_pause_of_updates_keeps_the_measurement(tokens):
    # Guards against a home that knows no speed after it was suspended.
    rate, now = measure(10.0)
    before = rate.token_s(PRIOR_S)
    rate.update([room(0, PROMPT)], tokens, now + 5.0)
    assert rate.token_s(PRIOR_S) == pytest.approx(before, rel=0.01)


@pytest.mark.parametrize('share', [0.5, 1.5])
def test_entries_that_are_lost_from_reports_or_back_are_not_counted(share):
    # Guards against engines that look fast or slow after a change of the home.
    rate, now = measure(10.0)
    before = rate.token_s(PRIOR_S)
    tokens = rate.tokens + rate.tokens_before * 0.5 ** (now / 5.0)
    rooms = [room(n, PROMPT) for n in range(4)]
    tokens *= share
    for _ in range(20):
        now += STEP_S
        tokens *= 0.5 ** (STEP_S / 5.0)
        tokens += 4 * STEP_S / TOKEN_S
        rate.update(rooms, tokens, now)
    assert rate.token_s(PRIOR_S) == pytest.approx(before, rel=0.1)


@pytest.mark.parametrize('counted', [0.0, 10.0, 100.0, 1000.0])
def test_a_reported_speed_is_kept_while_the_engines_have_it(counted):
    # Guards against a new home that takes the reported tokens for unread ones.
    rate, now = decisions.ReadRate(), 100.0
    rooms = [room(n, 2 * PROMPT) for n in range(4)]
    tokens = counted * PROMPT
    rate.update(rooms, tokens, now)
    rate.assume(TOKEN_S)
    assert rate.is_known
    for _ in range(40):
        now += STEP_S
        tokens *= 0.5 ** (STEP_S / 5.0)
        tokens += 4 * STEP_S / TOKEN_S
        rate.update(rooms, tokens, now)
        assert rate.token_s(TOKEN_S) == pytest.approx(TOKEN_S, rel=0.05)
    assert rate.busy_s > 8.0


def test_a_reported_speed_is_corrected_by_measuring():
    # Guards against a speed that homes and entries tell each other for ever.
    rate, now, tokens = decisions.ReadRate(), 100.0, 0.0
    rooms = [room(n, 2 * PROMPT) for n in range(4)]
    rate.update(rooms, tokens, now)
    rate.assume(0.5 * TOKEN_S)
    for _ in range(150):
        now += STEP_S
        tokens *= 0.5 ** (STEP_S / 5.0)
        tokens += 4 * STEP_S / TOKEN_S
        rate.update(rooms, tokens, now)
    assert rate.token_s(TOKEN_S) == pytest.approx(TOKEN_S, rel=0.1)


@pytest.mark.parametrize(
    ('reporters', 'share'), [({'a'}, 0.9), ({'a', 'b', 'c'}, 1.3)]
)
def test_what_new_and_lost_reporters_have_counted_is_not_read(
    reporters, share
):
    # Guards against changes that prompts left to read could explain.
    rate, now = measure(10.0, queued=20)
    rooms = [room(n, 20 * PROMPT) for n in range(4)]
    tokens = rate.total
    rate.update(rooms, tokens, now, {'a', 'b'})
    before = rate.token_s(PRIOR_S)
    rate.update(rooms, share * tokens, now, reporters)
    assert rate.token_s(PRIOR_S) == pytest.approx(before, rel=0.01)
