"""Adapters over HTTP: engines, plain services and the platform's list."""

from bulrushhold.web._engine import HttpEngineClient
from bulrushhold.web._platform import HttpPlatformList
from bulrushhold.web._service import HttpServiceClient

__all__ = ['HttpEngineClient', 'HttpPlatformList', 'HttpServiceClient']
