"""Choice of engines for requests and copies; retry budgets; load summaries."""

import random

from bulrushhold import decisions
from bulrushhold import messages


def make_placement(engines=6, seed=1, data_centre=''):
    placement = decisions.Placement(random.Random(seed), data_centre)
    placement.update(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', f'dc{n % 3}', 64
            )
            for n in range(engines)
        ]
    )
    return placement


def choose_engine(placement, now=0.0, tried=(), segment=''):
    return placement.choose_engine(
        'engines', now, tokens=8000, segment=segment, tried=set(tried)
    )


def test_prompts_spread_while_engines_are_idle():
    placement = make_placement()
    chosen = []
    for _ in range(6):
        engine = choose_engine(placement)
        placement.stream_started(engine, 8000)
        chosen.append(engine.ident)
    assert len(set(chosen)) == 6


def test_prompts_of_other_entries_count_as_load():
    # Guards against entries that ignore each other's prompts: all would choose
    # the same engines, and prompts would queue there.
    first, second = make_placement(), make_placement()
    for _ in range(5):
        engine = choose_engine(first)
        first.stream_started(engine, 8000)
    loads = first.load_report('e1', {}, 0.0).engines
    second.apply_loads(messages.LoadSummary(1, loads, []), 0.0)
    assert choose_engine(second).ident not in loads


def test_outdated_load_reports_are_ignored():
    placement = make_placement(engines=2)
    preferred = choose_engine(placement).ident
    loads = {preferred: messages.EngineLoad(8000, 1)}
    placement.apply_loads(messages.LoadSummary(1, loads, []), 0.0)
    assert choose_engine(placement, now=1.0).ident != preferred
    assert choose_engine(placement, now=5.0).ident == preferred


def test_a_lost_engine_and_its_data_centre_are_avoided():
    placement = make_placement()
    placement.record_failure('i0', 0.0, unreachable=True)
    placement.record_failure('i3', 0.1, unreachable=True)
    for _ in range(4):
        engine = choose_engine(placement, now=0.2)
        assert engine.data_centre != 'dc0'
        placement.stream_started(engine, 8000)
    assert placement.load_report('e1', {}, 0.0).lost == ['i0', 'i3']
    assert placement.load_report('e1', {}, 0.0).lost == []


def test_a_data_centre_fails_again_although_nobody_asked_in_between():
    # Guards against choices that depend on which engines earlier choices have
    # looked at: a first failure was kept until then, and hid a second one.
    placement = make_placement()
    for now in (0.0, 10.0):
        placement.record_failure('i0', now, unreachable=True)
        placement.record_failure('i3', now + 0.1, unreachable=True)
    location = ('engines', 'dc0')
    failures = placement.data_centre_failures
    assert failures.is_failing(location, 10.2)
    assert failures.failing('engines', 10.2) == {'dc0'}
    assert failures.failing('desk', 10.2) == set()


def test_a_loss_reported_by_another_entry_is_not_reported_again():
    placement = make_placement()
    placement.apply_loads(messages.LoadSummary(1, {}, ['i1']), 0.0)
    assert placement.backends['i1'].ejected_until > 0
    assert placement.load_report('e1', {}, 0.0).lost == []


def test_backups_are_placed_in_another_data_centre():
    placement = make_placement()
    engine = choose_engine(placement)
    backup = placement.choose_backup(engine, 0.0, set(), 8000)
    assert backup.data_centre != engine.data_centre


def test_a_copy_goes_to_an_engine_with_free_memory():
    # Guards against choosing the engine with the fewest streams although
    # copies fill its memory.
    placement = make_placement()
    placement.capacity = {'engines': 88_000}
    engine = choose_engine(placement)
    others = [b for b in placement.backends.values() if b is not engine]
    with_room = next(b for b in others if b.data_centre != engine.data_centre)
    for backend in others:
        backend.memory = 70_000
    with_room.memory = 20_000
    with_room.inflight = 9
    assert placement.choose_backup(engine, 0.0, set(), 8000) is with_room
    with_room.memory = 70_000
    assert placement.choose_backup(engine, 0.0, set(), 8000) is None


def test_a_copy_is_lost_with_its_engine_or_its_restart():
    placement = make_placement()
    backup = placement.backends['i1']
    assert placement.may_hold_copy(backup, 0.0)
    placement.record_failure('i1', 1.0, unreachable=True)
    assert not placement.may_hold_copy(backup, 0.5)
    assert placement.may_hold_copy(backup, 1.5)
    placement.update([])
    assert not placement.may_hold_copy(backup, 1.5)


def test_requests_prefer_the_engine_that_has_cached_their_prompt():
    placement = make_placement()
    placement.cached_prompts.record_read('session-7', 'i4', 0.0)
    assert choose_engine(placement, now=1.0, segment='session-7').ident == 'i4'
    placement.stream_started(placement.backends['i4'], 30000)
    assert choose_engine(placement, now=1.0, segment='session-7').ident != 'i4'


def test_a_partly_failing_server_gets_no_at_most_once_requests():
    placement = make_placement(engines=3)
    for n in range(3):
        placement.record_success(f'i{n}', 0.0, 0.06)
    for _ in range(4):
        placement.record_failure('i0', 0.0, unreachable=False)
    chosen = {
        placement.choose('engines', 0.1, at_most_once=True, tried=set()).ident
        for _ in range(50)
    }
    assert 'i0' not in chosen


def test_if_all_servers_are_ejected_the_oldest_ejection_is_tried():
    placement = make_placement(engines=2)
    placement.record_failure('i0', 0.0, unreachable=True)
    placement.record_failure('i1', 0.5, unreachable=True)
    assert choose_engine(placement, now=0.6).ident == 'i0'
    placement.mark_replaced('i0')
    assert choose_engine(placement, now=0.6).ident == 'i1'


def test_retries_are_bounded_by_requests_and_a_shared_allowance():
    budget = decisions.ServiceRetryBudget(0.5, 20, 10.0)
    budget.entries = 4
    taken = sum(budget.take('engines', 0.0) for _ in range(50))
    assert (
        taken == 1
    )  # A fifth of 20 over 4 entries; the home grants the rest.
    for _ in range(100):
        budget.count_request('engines', 1.0)
    taken += sum(budget.take('engines', 1.0) for _ in range(100))
    assert taken == 11
    assert budget.take('desk', 1.0)
    assert not budget.take('engines', 9.0)
    assert budget.take('engines', 10.5)


def test_a_replaced_engine_is_reported_and_never_used_again():
    # Guards against requests to the old identity of a restarted engine, which
    # the platform's list may still contain.
    first, second = make_placement(), make_placement()
    first.mark_replaced('i2')
    report = first.load_report('e1', {}, 0.0)
    assert report.replaced == ['i2']
    second.apply_loads(messages.LoadSummary(1, {}, [], report.replaced), 0.0)
    for placement in (first, second):
        assert 'i2' not in {b.ident for b in placement.usable('engines')}
        assert not placement.may_hold_copy(placement.backends['i2'], 1.0)
    assert second.load_report('e2', {}, 0.0).replaced == []


def test_a_load_summary_excludes_the_entry_that_asks():
    loads = decisions.LoadAggregator()
    load = messages.EngineLoad(8000, 1)
    traffic = {'engines': messages.ServiceTraffic(10, 2)}
    loads.add_report(
        messages.LoadReport('e1', {'i1': load}, [], [], traffic), 0.0
    )
    update = messages.LoadReport(
        'e2', {'i1': load, 'i2': load}, ['i9'], ['i8'], traffic
    )
    assert loads.add_report(update, 0.0)
    assert loads.summary_for('e1', 0).engines == {'i1': load, 'i2': load}
    total = loads.summary_for('e3', 0)
    assert total.engines['i1'] == messages.EngineLoad(16000, 2)
    assert total.traffic == {'engines': messages.ServiceTraffic(20, 4)}
    assert (total.lost, total.replaced) == (['i9'], ['i8'])
    later = loads.summary_for('e3', 2)
    assert (later.lost, later.replaced) == ([], [])
    assert not loads.add_report(messages.LoadReport('e1', {}, ['i9']), 0.1)
    loads.remove_report('e2')
    assert loads.summary_for('e1', 0).engines == {}


def test_a_recently_lost_engine_is_the_last_choice():
    # Guards against sending it the next prompts of all entries: it looks idle,
    # but is probably still down.
    placement = make_placement(engines=2)
    for backend in placement.backends.values():
        backend.data_centre = 'dc0'
    placement.record_failure('i0', 0.0, unreachable=True)
    placement.stream_started(placement.backends['i1'], 8000)
    assert choose_engine(placement, now=2.0).ident == 'i1'
    assert choose_engine(placement, now=7.0).ident == 'i0'


def test_streams_and_copies_avoid_an_engine_without_free_memory():
    # Guards against prompts that wait for memory although the engine has free
    # slots and reads nothing.
    placement = make_placement(engines=3)
    placement.capacity = {'engines': 88_000}
    preferred = choose_engine(placement)
    loads = {preferred.ident: messages.EngineLoad(0, 0, 72_000)}
    placement.apply_loads(messages.LoadSummary(1, loads, []), 0.0)
    assert choose_engine(placement).ident != preferred.ident
    for backend in placement.backends.values():
        if backend is not preferred:
            backup = placement.choose_backup(backend, 0.0, set(), 8000)
            assert backup is not preferred


def test_concurrent_entries_do_not_all_choose_the_least_loaded_engine():
    # Guards against overloading the few idle engines before entries know of
    # each other's choices; there are 300 entries and 6 idle engines.
    counts = {}
    for entry in range(300):
        placement = make_placement(engines=60, seed=entry)
        busy = messages.EngineLoad(0, 2, 20_000)
        loads = {f'i{n}': busy for n in range(6, 60)}
        placement.apply_loads(messages.LoadSummary(1, loads, []), 0.0)
        ident = choose_engine(placement, segment=f'session-{entry}').ident
        counts[ident] = counts.get(ident, 0) + 1
    assert max(counts.values()) <= 40


def test_streams_of_a_lost_data_centre_spread_over_busy_engines():
    # Guards against placing all streams at the few idle engines while most
    # engines read prompts. The bounds are mean prompts to be read per stream.
    assert mean_prompts_ahead(engines=18, streams=12) < 3.7
    assert mean_prompts_ahead(engines=90, streams=60) < 4.2


def mean_prompts_ahead(engines, streams):
    ahead = 0
    draws = 20
    for draw in range(draws):
        rng = random.Random(draw)
        loads = {
            f'i{n}': messages.EngineLoad(
                8000 * (rng.random() < 0.8),
                rng.randrange(1, 4),
                rng.randrange(10_000, 40_000),
            )
            for n in range(engines)
        }
        lost = [f'i{n}' for n in range(0, engines, 3)]
        assigned = {}
        for number in range(streams):
            placement = make_placement(engines, seed=100 * draw + number)
            placement.apply_loads(messages.LoadSummary(1, loads, lost), 0.0)
            ident = choose_engine(
                placement, 0.01, segment=f'{draw}-{number}'
            ).ident
            assigned[ident] = assigned.get(ident, 0) + 1
            ahead += assigned[ident] + loads[ident].reading / 8000
    return ahead / draws / streams


def test_a_retry_through_another_entry_reaches_the_cached_prompt():
    # Guards against reading a prompt again when the caller's entry is lost.
    reached_cache = 0
    for number in range(40):
        first, second = (
            make_placement(engines=18),
            make_placement(engines=18, seed=9),
        )
        segment = f'session-{number}'
        busy = {
            f'i{n}': messages.EngineLoad(0, (n * number) % 4, 0)
            for n in range(18)
        }
        first.apply_loads(messages.LoadSummary(1, busy, []), 0.0)
        engine = choose_engine(first, segment=segment)
        holders = second.likely_cache_holders('engines', segment, 1.0)
        assert engine.ident in {holder.ident for holder in holders}
        second.cached_prompts.record_read(segment, engine.ident, 1.0)
        reached_cache += (
            choose_engine(second, now=1.0, segment=segment).ident
            == engine.ident
        )
    assert reached_cache == 40


def test_an_idle_engine_without_free_memory_is_not_chosen():
    """Guards against prompts that wait although other engines are empty."""
    placement = make_placement(30)
    placement.capacity = {'engines': 88_000}
    ranks = placement._affinity_ranks('engines', 'p', 0.0, set())
    full = {i: messages.EngineLoad(0, 5, 85_000) for i in ranks}
    placement.apply_loads(messages.LoadSummary(1, full, []), 0.0)
    chosen = placement.choose_engine(
        'engines', 0.0, tokens=8000, segment='p', tried=set()
    )
    assert chosen.ident not in ranks


def place_streams(placement, count, now=0.0):
    """Place streams one after the other; return their data centres."""
    data_centres = []
    for number in range(count):
        engine = choose_engine(placement, now, segment=f'prompt {number}')
        placement.stream_started(engine, 8000)
        data_centres.append(engine.data_centre)
    return data_centres


def test_streams_stay_in_their_data_centre_while_its_engines_are_idle():
    # Lossy links between data centres delay the events of a stream.
    placement = make_placement(engines=30, data_centre='dc1')
    assert place_streams(placement, 5) == ['dc1'] * 5


def test_streams_leave_their_data_centre_when_its_engines_are_reading():
    # A preference must not let prompts wait while engines elsewhere are idle.
    placement = make_placement(engines=30, data_centre='dc1')
    data_centres = place_streams(placement, 30)
    assert {data_centres.count(f'dc{n}') for n in range(3)} == {10}


def test_streams_leave_a_data_centre_whose_engines_are_lost():
    placement = make_placement(engines=30, data_centre='dc1')
    for number in range(1, 30, 3):
        placement.record_failure(f'i{number}', 0.0, unreachable=True)
    assert 'dc1' not in place_streams(placement, 5, now=1.1)


def test_a_prompt_cached_in_another_data_centre_is_found():
    # The entry that served the caller before may have been anywhere.
    for number in range(20):
        first = make_placement(engines=30, data_centre='dc0')
        second = make_placement(engines=30, data_centre='dc1')
        engine = choose_engine(first, segment=f'session-{number}')
        holders = second.likely_cache_holders(
            'engines', f'session-{number}', 1.0
        )
        assert engine.ident in {holder.ident for holder in holders}


def test_plain_requests_stay_in_their_data_centre_until_its_server_is_busy():
    placement = make_placement(engines=3, data_centre='dc1')
    for backend in placement.backends.values():
        placement.record_success(backend.ident, 0.0, 0.05)

    def choose():
        return placement.choose(
            'engines', 0.0, at_most_once=True, tried=set()
        ).data_centre

    assert [choose() for _ in range(20)].count('dc1') == 20
    placement.backends['i1'].inflight = 64
    assert choose() != 'dc1'


def test_a_prompt_goes_where_it_slows_no_running_stream():
    # While a prompt is read, all streams of its engine are slower.
    placement = make_placement(engines=30, data_centre='dc0')
    busy = {f'i{n}': messages.EngineLoad(0, 1, 8000) for n in range(0, 30, 2)}
    placement.apply_loads(messages.LoadSummary(1, busy, []), 0.0)
    chosen = [
        choose_engine(placement, segment=f'prompt {number}').ident
        for number in range(40)
    ]
    assert sum(ident in busy for ident in chosen) <= 8
