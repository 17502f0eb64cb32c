"""Randomized fault-injection test of entry hosts as separate processes.

``python -m tests.soak --seeds=50`` generates faults from seeds and injects
them into entry hosts that run as processes of their own, and into stand-ins
of the store, the API and the endpoints.  :mod:`tests.soak.checks` lists what
must hold.
"""
