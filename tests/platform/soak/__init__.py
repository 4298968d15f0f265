"""Randomized soak test of control processes and entries on one machine.

``python -m tests.platform.soak --seeds 1-50`` starts them as processes,
injects faults and checks the guarantees to callers and backend servers.
"""
