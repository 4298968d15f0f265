"""Fixtures of a forwarding entry with fake network peers."""

import random

import pytest

from bulrushhold import decisions
from bulrushhold import forwarding
from bulrushhold import messages
from bulrushhold import node
from tests.forwarding import fakes


@pytest.fixture
def client():
    return fakes.FakeClient()


@pytest.fixture
def context(client):
    placement = decisions.Placement(random.Random(1))
    placement.update(
        [
            messages.ListedBackend(
                f'i{n}', 'engines', f'10.0.0.{n}:80', f'dc{n % 3}', 64
            )
            for n in range(6)
        ]
    )
    placement.demands.limits.rng = random.Random(1)
    # As an entry's checks find once they are listed.
    for ident in placement.backends:
        placement.verification.record_answer(ident)
    poison_requests = decisions.PoisonRequestDetector(placement.losses)
    return forwarding.ForwardingContext(
        placement,
        forwarding.PermitCheckingClient(client, placement, poison_requests),
        decisions.ServiceRetryBudget(1.0, 100, 10.0),
        node.NullMetrics(),
        poison_requests,
        decisions.AdmissionController(),
        'e1',
        fakes.FakePermitSource(),
    )


@pytest.fixture
def fleet(context):
    return forwarding.FleetView(
        messages.ListedEntry('e1', 'dc0', '10.0.1.1:80', True),
        ['10.0.2.1:70'],
        fakes.FakeTransport(),
        None,
        context.placement,
        context.budget,
        context.poison_requests,
        context.admission,
    )
