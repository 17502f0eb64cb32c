"""Pure decision logic without I/O or clock access.

Callers pass in all times and counters.  Each module docstring describes the
load pattern that the module handles and the reasons for its limits.
"""
