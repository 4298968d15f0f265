"""A randomized soak of the real programs on one machine.

``python -m tests.platform.soak --seeds 1-50`` starts control and entries as
processes, plays faults from outside and checks the promises to callers
and backend servers while it runs.
"""
