"""Simulator of engines and callers that runs the production decision code."""

from bulrushhold.emulator._clock import EmulatedLoop
from bulrushhold.emulator._clock import run
from bulrushhold.emulator._demand import Demand
from bulrushhold.emulator._demand import DemandSystem
from bulrushhold.emulator._demand import HOT_SEGMENT
from bulrushhold.emulator._engine import Engine
from bulrushhold.emulator._engine import EngineProfile
from bulrushhold.emulator._pace import PaceProfile
from bulrushhold.emulator._poison import PoisonCallers
from bulrushhold.emulator._poison import PoisonSystem
from bulrushhold.emulator._rollouts import Onset
from bulrushhold.emulator._rollouts import RolloutScenario
from bulrushhold.emulator._rollouts import RolloutSimulation
from bulrushhold.emulator._service import PlainOutcome
from bulrushhold.emulator._service import PlainServer
from bulrushhold.emulator._service import ServiceSystem
from bulrushhold.emulator._system import System
from bulrushhold.emulator._versions import ResumedOutcome
from bulrushhold.emulator._versions import VersionSystem
from bulrushhold.emulator._workload import Outcome
from bulrushhold.emulator._workload import Workload

__all__ = [
    'HOT_SEGMENT',
    'Demand',
    'DemandSystem',
    'EmulatedLoop',
    'Engine',
    'EngineProfile',
    'Onset',
    'Outcome',
    'PaceProfile',
    'PlainOutcome',
    'PlainServer',
    'PoisonCallers',
    'PoisonSystem',
    'ResumedOutcome',
    'RolloutScenario',
    'RolloutSimulation',
    'ServiceSystem',
    'System',
    'VersionSystem',
    'Workload',
    'run',
]
