"""Serving system for long generations on engines that fail."""

import typing as t

__all__ = ['__version__']

__version__: t.Final = '0.1.0'
