"""Randomized soak of the platform form as separate processes.

``python -m tests.soak --seeds=50`` draws faults from seeds and plays
them on entry hosts that run as processes of their own, beside stand-ins
of the store, the API and the endpoints; see :mod:`tests.soak.checks` for
what must hold.
"""
