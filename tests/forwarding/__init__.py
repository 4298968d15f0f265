"""Opaque requests over backend servers that fail in every way."""
