"""Adapters for ZeroMQ, the disk, logs, metrics and the system clock."""

from bulrushhold.node._clock import boot_time
from bulrushhold.node._filelog import FileLog
from bulrushhold.node._filelog import Identity
from bulrushhold.node._logs import configure as configure_logs
from bulrushhold.node._logs import decision as log_decision
from bulrushhold.node._originlog import FileOriginLog
from bulrushhold.node._prometheus import make as make_prometheus_metrics
from bulrushhold.node._prometheus import PrometheusMetrics
from bulrushhold.node._statsd import make as make_metrics
from bulrushhold.node._statsd import NullMetrics
from bulrushhold.node._statsd import StatsdMetrics
from bulrushhold.node._zmqtransport import ZmqTransport

__all__ = [
    'FileLog',
    'FileOriginLog',
    'Identity',
    'NullMetrics',
    'PrometheusMetrics',
    'StatsdMetrics',
    'ZmqTransport',
    'boot_time',
    'configure_logs',
    'log_decision',
    'make_metrics',
    'make_prometheus_metrics',
]
