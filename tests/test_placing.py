"""Placing opaque requests, with the clock in hand."""

import random

from bulrushhold import decisions
from bulrushhold import messages


def placement(engines=6, seed=1):
    made = decisions.Placement(random.Random(seed))
    made.update(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', f'dc{n % 3}', 64
            )
            for n in range(engines)
        ]
    )
    return made


def place(made, now=0.0, tried=(), part=''):
    return made.choose_engine(
        'engines', now, tokens=8000, part=part, tried=set(tried)
    )


def test_prompts_spread_while_engines_are_idle():
    made = placement()
    chosen = []
    for _ in range(6):
        engine = place(made)
        made.began(engine, 8000)
        chosen.append(engine.ident)
    assert len(set(chosen)) == 6


def test_prompts_of_other_entries_count_as_own_ones():
    # A data centre dies; each entry moves its streams at the same moment.
    # Unless each hears what the others place, all choose the same engines
    # and every prompt waits for several others to be read.
    first, second = placement(), placement()
    for _ in range(5):
        engine = place(first)
        first.began(engine, 8000)
    seen = first.load_report('e1', {}, 0.0).engines
    second.apply_loads(messages.LoadSummary(1, seen, []), 0.0)
    assert place(second).ident not in seen


def test_what_others_said_long_ago_counts_no_more():
    made = placement(engines=2)
    favourite = place(made).ident
    seen = {favourite: messages.EngineLoad(8000, 1)}
    made.apply_loads(messages.LoadSummary(1, seen, []), 0.0)
    assert place(made, now=1.0).ident != favourite
    assert place(made, now=5.0).ident == favourite


def test_a_lost_engine_is_left_alone_and_its_data_centre_avoided():
    made = placement()
    made.failed('i0', 0.0, gone=True)
    made.failed('i3', 0.1, gone=True)
    for _ in range(4):
        engine = place(made, now=0.2)
        assert engine.data_centre != 'dc0'
        made.began(engine, 8000)
    assert made.load_report('e1', {}, 0.0).lost == ['i0', 'i3']
    assert made.load_report('e1', {}, 0.0).lost == []


def test_a_loss_that_another_entry_saw_is_not_told_again():
    made = placement()
    made.apply_loads(messages.LoadSummary(1, {}, ['i1']), 0.0)
    assert made.backends['i1'].suspect_until > 0
    assert made.load_report('e1', {}, 0.0).lost == []


def test_backups_lie_in_another_data_centre():
    made = placement()
    engine = place(made)
    backup = made.choose_backup(engine, 0.0, set(), 8000)
    assert backup.data_centre != engine.data_centre


def test_a_copy_goes_where_there_is_room_for_it():
    # Streams aren't spread evenly. The engine with the fewest of them holds
    # copies of many others; a stream without a copy would have its prompt
    # read again when its engine is lost.
    made = placement()
    made.capacity = {'engines': 88_000}
    engine = place(made)
    others = [b for b in made.backends.values() if b is not engine]
    roomy = next(b for b in others if b.data_centre != engine.data_centre)
    for backend in others:
        backend.memory = 70_000
    roomy.memory = 20_000
    roomy.inflight = 9
    assert made.choose_backup(engine, 0.0, set(), 8000) is roomy
    roomy.memory = 70_000
    assert made.choose_backup(engine, 0.0, set(), 8000) is None


def test_a_copy_is_gone_with_its_engine_or_its_restart():
    made = placement()
    backup = made.backends['i1']
    assert made.keeps_copy(backup, 0.0)
    made.failed('i1', 1.0, gone=True)
    assert not made.keeps_copy(backup, 0.5)
    assert made.keeps_copy(backup, 1.5)
    made.update([])
    assert not made.keeps_copy(backup, 1.5)


def test_an_engine_that_read_the_prompt_gets_the_next_one():
    made = placement()
    made.read('session-7', 'i4', 0.0)
    assert place(made, now=1.0, part='session-7').ident == 'i4'
    made.began(made.backends['i4'], 30000)
    assert place(made, now=1.0, part='session-7').ident != 'i4'


def test_a_server_that_fails_in_part_gets_no_request_that_may_run_once():
    made = placement(engines=3)
    for n in range(3):
        made.succeeded(f'i{n}', 0.0, 0.06)
    for _ in range(4):
        made.failed('i0', 0.0, gone=False)
    chosen = {
        made.choose('engines', 0.1, once=True, tried=set()).ident
        for _ in range(50)
    }
    assert 'i0' not in chosen


def test_leaving_servers_get_nothing_and_all_suspect_is_better_than_none():
    made = placement(engines=2)
    made.failed('i0', 0.0, gone=True)
    made.failed('i1', 0.5, gone=True)
    assert place(made, now=0.6).ident == 'i0'
    made.replaced('i0')
    assert place(made, now=0.6).ident == 'i1'


def test_repeats_are_bounded_by_requests_and_a_shared_allowance():
    budget = decisions.RepeatBudget(0.5, 20, 10.0)
    budget.entries = 4
    taken = sum(budget.take('engines', 0.0) for _ in range(50))
    assert taken == 4  # 20 over 4 entries, with a margin of a fifth.
    for _ in range(100):
        budget.first('engines', 1.0)
    taken += sum(budget.take('engines', 1.0) for _ in range(100))
    assert taken == 44
    assert budget.take('desk', 1.0)
    assert not budget.take('engines', 9.0)
    assert budget.take('engines', 10.5)


def test_an_engine_that_moved_is_told_to_all_and_left_for_good():
    # The engines of a data centre are back under new identities, and the
    # platform's list still has the old ones. One refusal tells all entries.
    first, second = placement(), placement()
    first.replaced('i2')
    told = first.load_report('e1', {}, 0.0)
    assert told.replaced == ['i2']
    second.apply_loads(messages.LoadSummary(1, {}, [], told.replaced), 0.0)
    for made in (first, second):
        assert 'i2' not in {b.ident for b in made.usable('engines')}
        assert not made.keeps_copy(made.backends['i2'], 1.0)
    assert second.load_report('e2', {}, 0.0).replaced == []


def test_many_entries_may_use_the_budget_that_others_leave():
    # One data centre's engines die at 67 entries. The streams of one entry
    # are more than its part of the budget, and all together far below it.
    budget = decisions.RepeatBudget(0.8, 150, 10.0)
    budget.entries = 67
    for _ in range(4):
        budget.first('engines', 0.0)
    assert sum(budget.take('engines', 0.1) for _ in range(8)) == 4
    quiet = messages.ServiceTraffic(270, 20)
    budget.apply_loads({'engines': quiet}, 0.2)
    assert sum(budget.take('engines', 0.3) for _ in range(8)) == 8
    budget.apply_loads({'engines': messages.ServiceTraffic(270, 265)}, 0.4)
    assert not budget.take('engines', 0.5)
    assert budget.take('engines', 0.5, begun=True)
    budget.apply_loads({'engines': messages.ServiceTraffic(270, 340)}, 0.5)
    assert not budget.take('engines', 0.5, begun=True)
    budget.apply_loads({'engines': quiet}, 0.6)
    assert not budget.take('engines', 3.0)


def test_the_board_tells_each_entry_of_the_others():
    loads = decisions.LoadAggregator()
    use = messages.EngineLoad(8000, 1)
    traffic = {'engines': messages.ServiceTraffic(10, 2)}
    loads.take(messages.LoadReport('e1', {'i1': use}, [], [], traffic), 0.0)
    news = messages.LoadReport(
        'e2', {'i1': use, 'i2': use}, ['i9'], ['i8'], traffic
    )
    assert loads.take(news, 0.0)
    assert loads.others('e1', 0).engines == {'i1': use, 'i2': use}
    every = loads.others('e3', 0)
    assert every.engines['i1'] == messages.EngineLoad(16000, 2)
    assert every.traffic == {'engines': messages.ServiceTraffic(20, 4)}
    assert (every.lost, every.replaced) == (['i9'], ['i8'])
    later = loads.others('e3', 2)
    assert (later.lost, later.replaced) == ([], [])
    assert not loads.take(messages.LoadReport('e1', {}, ['i9']), 0.1)
    loads.forget('e2')
    assert loads.others('e1', 0).engines == {}


def test_a_lost_engine_that_looks_idle_is_the_last_choice():
    # It is down, or back under another identity that the list hasn't got
    # yet; every entry would send it the next prompt, and be refused.
    made = placement(engines=2)
    for backend in made.backends.values():
        backend.data_centre = 'dc0'
    made.failed('i0', 0.0, gone=True)
    made.began(made.backends['i1'], 8000)
    assert place(made, now=2.0).ident == 'i1'
    assert place(made, now=7.0).ident == 'i0'


def test_an_engine_without_memory_is_avoided_by_streams_and_copies():
    # An engine holds some ten prompts. One more waits until another stream
    # has ended, though places are free and nothing is being read.
    made = placement(engines=3)
    made.capacity = {'engines': 88_000}
    favourite = place(made)
    seen = {favourite.ident: messages.EngineLoad(0, 0, 72_000)}
    made.apply_loads(messages.LoadSummary(1, seen, []), 0.0)
    assert place(made).ident != favourite.ident
    for backend in made.backends.values():
        if backend is not favourite:
            backup = made.choose_backup(backend, 0.0, set(), 8000)
            assert backup is not favourite


def test_entries_that_place_at_once_do_not_all_choose_the_idlest():
    # Streams of a dead data centre are placed by as many entries before any
    # hears of another. Ten times thirty of them on six idle engines of sixty:
    # the idlest alone would get 50 each, five prompts one after the other.
    counts = {}
    for entry in range(300):
        made = placement(engines=60, seed=entry)
        busy = messages.EngineLoad(0, 2, 20_000)
        seen = {f'i{n}': busy for n in range(6, 60)}
        made.apply_loads(messages.LoadSummary(1, seen, []), 0.0)
        ident = place(made, part=f'session-{entry}').ident
        counts[ident] = counts.get(ident, 0) + 1
    assert max(counts.values()) <= 40


def test_streams_of_a_lost_data_centre_spread_over_reading_engines():
    # A data centre dies while four in five of the engines left are reading a
    # prompt. Its streams are placed by as many entries before any hears of
    # another; at the few idle engines they would wait for five to nine
    # prompts each. Mean prompts ahead, own one included, over 20 draws:
    # 4.4 on 18 engines and 9.2 on 90 while all took the idlest engine.
    assert mean_prompts_ahead(engines=18, streams=12) < 3.7
    assert mean_prompts_ahead(engines=90, streams=60) < 4.2


def mean_prompts_ahead(engines, streams):
    ahead = 0
    draws = 20
    for draw in range(draws):
        rng = random.Random(draw)
        seen = {
            f'i{n}': messages.EngineLoad(
                8000 * (rng.random() < 0.8),
                rng.randrange(1, 4),
                rng.randrange(10_000, 40_000),
            )
            for n in range(engines)
        }
        lost = [f'i{n}' for n in range(0, engines, 3)]
        placed = {}
        for number in range(streams):
            made = placement(engines, seed=100 * draw + number)
            made.apply_loads(messages.LoadSummary(1, seen, lost), 0.0)
            ident = place(made, 0.01, part=f'{draw}-{number}').ident
            placed[ident] = placed.get(ident, 0) + 1
            ahead += placed[ident] + seen[ident].reading / 8000
    return ahead / draws / streams


def test_a_caller_that_comes_back_is_sent_where_its_prompt_was_read():
    # The caller's entry loses power. It comes back through another entry,
    # which has never seen it; reading its prompt again takes a second and
    # the engine's work is for nothing.
    same = 0
    for number in range(40):
        first, second = placement(engines=18), placement(engines=18, seed=9)
        part = f'session-{number}'
        busy = {
            f'i{n}': messages.EngineLoad(0, (n * number) % 4, 0)
            for n in range(18)
        }
        first.apply_loads(messages.LoadSummary(1, busy, []), 0.0)
        engine = place(first, part=part)
        keepers = second.likely_keepers('engines', part, 1.0)
        assert engine.ident in {keeper.ident for keeper in keepers}
        second.read(part, engine.ident, 1.0)
        same += place(second, now=1.0, part=part).ident == engine.ident
    assert same == 40


def test_an_idle_engine_without_room_is_not_chosen():
    """Guards against prompts that wait for memory beside empty engines."""
    made = placement(30)
    made.capacity = {'engines': 88_000}
    ranks = made._affinity_ranks('engines', 'p', set())
    full = {i: messages.EngineLoad(0, 5, 85_000) for i in ranks}
    made.apply_loads(messages.LoadSummary(1, full, []), 0.0)
    chosen = made.choose_engine(
        'engines', 0.0, tokens=8000, part='p', tried=set()
    )
    assert chosen.ident not in ranks
