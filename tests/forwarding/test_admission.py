"""Admission control: single decisions, and a simulated overload."""

import asyncio
import random
import statistics

import attrs
import pytest

from bulrushhold import decisions
from bulrushhold import errors
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import routes
from tests.forwarding import fakes


AIM_S = 4.5
CALLER_TIMEOUT_S = 4 * AIM_S
PROMPT = 8000
OBJECTIVE = decisions.LatencyObjective(PROMPT, AIM_S, 0.7)
MEMORY = 8500
CAPACITY = 88_000
DECODE_S = 8.0
STEP_S = 0.05


def decide(
    first_event_s, *, idle=False, waited=0.0, left=25.0, waiting=0, engines=9
):
    admission = decisions.AdmissionController()
    admission.waiting['s'] = waiting
    completions_per_s = 0.7 * engines
    estimate = decisions.CapacityEstimate(
        first_event_s, idle, engines, completions_per_s
    )
    return admission.decide(
        estimate,
        waited_s=waited,
        remaining_s=left,
        aim_s=AIM_S,
        queue_s=admission.queue_s('s', estimate, 9, 0.0),
        first_check=not waited,
    )


def test_a_stream_that_can_meet_its_aim_is_placed_at_once():
    assert decide(3.4) is decisions.AdmissionDecision.PLACE
    assert decide(3.4, waited=0.2) is decisions.AdmissionDecision.WAIT


def test_a_late_stream_goes_only_to_an_idle_engine():
    assert decide(9.0, waited=6.0) is decisions.AdmissionDecision.WAIT
    assert (
        decide(2.0, waited=6.0, idle=True) is decisions.AdmissionDecision.PLACE
    )


def test_a_stream_is_refused_if_the_queue_exceeds_the_maximum_wait():
    # 9 engines complete 6.3 streams per second; 12 wait at each of 9 entries.
    assert decide(9.0, waiting=12) is decisions.AdmissionDecision.REFUSE
    assert decide(9.0, waiting=3) is decisions.AdmissionDecision.WAIT


def test_retry_after_is_the_time_until_the_queue_is_empty():
    admission = decisions.AdmissionController()
    estimate = decisions.CapacityEstimate(9.0, False, 9, 6.3)
    admission.waiting['s'] = 4
    queue_s = admission.queue_s('s', estimate, 9, 0.0)
    assert decisions.retry_after_s(queue_s) == pytest.approx(36 / 6.3)
    admission.waiting['s'] = 100
    queue_s = admission.queue_s('s', estimate, 9, 0.0)
    assert decisions.retry_after_s(queue_s) == 8.0
    admission.waiting['s'] = 0
    queue_s = admission.queue_s('s', estimate, 9, 0.0)
    assert decisions.retry_after_s(queue_s) == 1.0


def test_reported_queue_lengths_replace_the_local_estimate():
    # Guards against refusing a stream because one waiting stream is assumed at
    # each of 67 entries.
    admission = decisions.AdmissionController()
    estimate = decisions.CapacityEstimate(9.0, False, 2, 1.4)
    admission.waiting['s'] = 1
    assert admission.queue_s('s', estimate, 67, 0.0) > 15.3
    admission.apply_loads({'s': 0}, 0.0)
    assert admission.queue_s('s', estimate, 67, 0.1) < 1.0
    admission.apply_loads({'s': 66}, 0.2)
    assert admission.queue_s('s', estimate, 67, 0.3) > 15.3


def test_without_engines_streams_are_placed_at_once():
    assert decide(99.0, engines=0) is decisions.AdmissionDecision.PLACE


# Simulation: engines read one prompt at a time, and a stream then holds its
# memory until it is complete.


@attrs.define
class SimulatedEngine:
    speeds: decisions.EngineSpeeds
    queue: list = attrs.field(factory=list)
    running: list = attrs.field(factory=list)

    def advance(self, now):
        self.running = [end for end in self.running if end > now]
        budget = STEP_S
        while self.queue and budget > 0:
            if MEMORY * (len(self.running) + 1) > CAPACITY:
                return
            stream = self.queue[0]
            spent = min(budget, stream['unread'])
            stream['unread'] -= spent
            budget -= spent
            if stream['unread'] <= 1e-9:
                self.queue.pop(0)
                stream['first'] = now
                self.speeds.record_read(stream['reading'], OBJECTIVE, now)
                self.running.append(now + DECODE_S + len(self.running))


def simulate_overload(
    with_admission_control, engines=9, rate=18.0, seconds=30.0, seed=1
):
    """Return the streams with the times of arrival and first event."""
    rng = random.Random(seed)
    placement = decisions.Placement(rng)
    placement.capacity = {'s': CAPACITY}
    placement.update(
        [
            messages.ListedBackend(f'i{n}', 's', f'h{n}:1', f'dc{n % 3}', 64)
            for n in range(engines)
        ]
    )
    speeds = placement.speeds
    simulated = {f'i{n}': SimulatedEngine(speeds) for n in range(engines)}
    admission = decisions.AdmissionController()
    streams, waiting_streams = [], []
    now = 0.0
    while now < seconds + CALLER_TIMEOUT_S:
        now += STEP_S
        for ident, engine in simulated.items():
            engine.advance(now)
            backend = placement.backends[ident]
            backend.inflight = len(engine.queue) + len(engine.running)
            backend.reading = PROMPT * len(engine.queue)
            backend.memory = MEMORY * backend.inflight
        overloaded = 4.0 <= now < 11.0
        arrivals_per_s = rate if overloaded else 2.5
        if now < seconds and rng.random() < arrivals_per_s * STEP_S:
            stream = {'at': now, 'first': None, 'unread': 1.0}
            streams.append(stream)
            waiting_streams.append(stream)
        # The newest first: it can still meet its aim.
        for stream in reversed(list(waiting_streams)):
            estimate = placement.estimate_capacity(
                's', now, objective=OBJECTIVE, memory=MEMORY
            )
            admission.waiting['s'] = len(waiting_streams)
            queue_s = admission.queue_s('s', estimate, 1, now)
            decision = admission.decide(
                estimate,
                waited_s=now - stream['at'],
                remaining_s=25.0,
                aim_s=AIM_S,
                queue_s=queue_s,
                first_check=stream['at'] == now,
            )
            if (
                with_admission_control
                and decision is decisions.AdmissionDecision.WAIT
            ):
                continue
            waiting_streams.remove(stream)
            if (
                with_admission_control
                and decision is decisions.AdmissionDecision.REFUSE
            ):
                continue
            chosen = placement.choose_engine(
                's', now, tokens=PROMPT, segment=str(stream['at']), tried=set()
            )
            simulated[chosen.ident].queue.append(stream)
            chosen.reading += PROMPT
            stream['reading'] = speeds.start_read(
                's', chosen.ident, chosen.reading, now
            )
            chosen.memory += MEMORY
    return streams


def summarize(streams):
    waits = [s['first'] - s['at'] for s in streams if s['first'] is not None]
    in_time = sum(wait <= AIM_S for wait in waits)
    served = sum(wait <= CALLER_TIMEOUT_S for wait in waits)
    return in_time / len(streams), served / len(streams), waits


def test_admission_control_keeps_most_streams_in_time_under_overload():
    # Seven times the usual rate for 7 s. Without admission control, each
    # stream queues behind all earlier ones.
    without_control, with_control, served = [], [], []
    for seed in range(4):
        without_control.append(
            summarize(simulate_overload(False, seed=seed))[0]
        )
        in_time, served_share, _ = summarize(
            simulate_overload(True, seed=seed)
        )
        with_control.append(in_time)
        served.append(served_share)
    assert statistics.mean(without_control) < 0.55
    assert statistics.mean(with_control) > 0.70
    assert statistics.mean(served) > 0.85


def test_a_mild_overload_loses_no_stream():
    for seed in range(4):
        in_time, served, _ = summarize(
            simulate_overload(True, rate=14.0, seed=seed)
        )
        assert in_time > 0.85
        assert served > 0.99


async def test_a_stream_that_would_wait_too_long_is_refused_as_not_run(
    client, context
):
    # All engines are full, and the queue is too long for another stream.
    context.placement.speeds.record_run('engines', 10.0, context.clock())
    context.placement.capacity = {'engines': 10_000}
    for backend in context.placement.backends.values():
        backend.memory = 10_000
    context.placement.last_report_at = context.clock()
    context.admission.waiting['engines'] = 200
    started_at = context.clock()
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_stream(context, timeout_s=25.0)
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert caught.value.retry_after == 8.0
    assert context.clock() - started_at < 0.5
    assert client.log == []
    assert context.admission.waiting['engines'] == 200


async def test_a_waiting_stream_is_placed_once_an_engine_has_free_memory(
    client, context
):
    context.placement.capacity = {'engines': 20_000}
    for backend in context.placement.backends.values():
        backend.memory = 20_000
    client.scripts = [fakes.Script(events=(1, 2))]
    caller = fakes.FakeCaller()
    job = fakes.make_job(context, routes.Kind.STREAM)
    run = asyncio.ensure_future(
        forwarding.StreamForwarder(context, job, caller).run()
    )
    await asyncio.sleep(0.15)
    assert client.log == []
    assert context.admission.waiting['engines'] == 1
    context.placement.backends['i3'].memory = 0
    await run
    assert caller.data == fakes.encode_events(1, 2)
    assert context.admission.waiting['engines'] == 0
    # Under overload no copy is made where it would fill an engine.
    assert client.attempts[0].backup == ''


def test_outdated_memory_reports_do_not_block_admission():
    # Guards against streams that wait although engines are idle, once load
    # reports have ceased.
    placement = decisions.Placement(random.Random(1))
    placement.capacity = {'s': CAPACITY}
    placement.update([messages.ListedBackend('i0', 's', 'h0:1', 'dc0', 64)])
    full = {'i0': messages.EngineLoad(40_000, 10, CAPACITY)}
    placement.apply_loads(messages.LoadSummary(1, full, []), 0.0)
    current = placement.estimate_capacity(
        's', 0.1, objective=OBJECTIVE, memory=MEMORY
    )
    assert current.first_event_s == float('inf')
    later = placement.estimate_capacity(
        's', 10.0, objective=OBJECTIVE, memory=MEMORY
    )
    assert later.idle
    assert later.first_event_s < AIM_S


async def test_a_prompt_too_large_for_any_engine_is_refused_at_once(
    client, context
):
    # Guards against a refusal only after the maximum wait.
    context.placement.capacity = {'engines': 5000}
    started_at = context.clock()
    with pytest.raises(errors.RequestError) as caught:
        await fakes.run_stream(context, timeout_s=25.0)
    assert context.clock() - started_at < 0.5
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NO
    assert client.log == []


def admit_concurrently(entries, seed, seconds=0.2):
    """Let one stream wait at each entry when one engine becomes free.

    :returns: how many are admitted before entries exchange reports.
    """
    rng = random.Random(seed)
    estimate = decisions.CapacityEstimate(1.0, True, 9, 6.0, ready_engines=1)
    controllers = [decisions.AdmissionController() for _ in range(entries)]
    for admission in controllers:
        admission.waiting['s'] = 1
        admission.apply_loads({'s': entries - 1}, 0.0)
    admitted = 0
    for step in range(round(seconds / decisions.ADMISSION_CHECK_S)):
        now = step * decisions.ADMISSION_CHECK_S
        for admission in controllers:
            if admission.waiting['s'] and admission.should_admit_now(
                's', estimate, entries, now, rng.random()
            ):
                admission.waiting['s'] = 0
                admitted += 1
    return admitted


@pytest.mark.parametrize('entries', [2, 8, 40, 200])
def test_concurrent_entries_do_not_overfill_one_free_engine(entries):
    """Guards against prompts of all entries on the one free engine."""
    admitted = [admit_concurrently(entries, seed) for seed in range(40)]
    assert statistics.mean(admitted) <= 1.5
    assert max(admitted) <= 5
    assert statistics.mean(admitted) >= 0.4


def test_a_single_waiting_stream_is_admitted_at_once():
    assert admit_concurrently(1, 0, decisions.ADMISSION_CHECK_S) == 1


def test_a_started_stream_is_admitted_before_new_ones():
    """Guards against stalling a started stream while placing new ones."""
    admission = decisions.AdmissionController()
    admission.waiting['s'] = 100
    estimate = decisions.CapacityEstimate(1.0, True, 9, 6.0)
    options = ('s', estimate, 9, 0.0, 0.99)
    assert not admission.should_admit_now(*options)
    assert admission.should_admit_now(*options, begun=True)


def test_concurrent_copies_spread_over_several_engines():
    """Guards against copies that all go to one engine and fill it."""
    chosen = set()
    for seed in range(8):
        placement = decisions.Placement(random.Random(seed))
        placement.update(
            [
                messages.ListedBackend(
                    f'i{n}', 's', f'h{n}:1', f'dc{n % 5}', 8
                )
                for n in range(20)
            ]
        )
        placement.capacity = {'s': CAPACITY}
        busy = {
            f'i{n}': messages.EngineLoad(0, 4, 40_000 + 1000 * n)
            for n in range(1, 20)
        }
        placement.apply_loads(messages.LoadSummary(1, busy, []), 0.0)
        source = placement.backends['i4']
        backup = placement.choose_backup(source, 0.0, set(), MEMORY)
        assert backup.data_centre != source.data_centre
        chosen.add(backup.ident)
    assert len(chosen) >= 3


def test_no_copy_goes_to_a_failing_data_centre():
    """Guards against copies that are lost before they are needed."""
    for seed in range(20):
        placement = decisions.Placement(random.Random(seed))
        placement.update(
            [
                messages.ListedBackend(
                    f'i{n}', 's', f'h{n}:1', f'dc{n % 3}', 8
                )
                for n in range(21)
            ]
        )
        for ident in ('i1', 'i4', 'i7'):
            placement.record_failure(ident, 1.0, unreachable=True)
        source = placement.backends['i0']
        backup = placement.choose_backup(source, 1.1, set(), MEMORY)
        assert backup.data_centre == 'dc2'
