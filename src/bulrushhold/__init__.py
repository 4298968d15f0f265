"""Serving system for long LLM generations on unreliable engines."""

import typing as t

__all__ = ['__version__']

__version__: t.Final = '0.1.0'
