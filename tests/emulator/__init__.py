"""Simulated workloads on emulated engines with the production decisions."""
