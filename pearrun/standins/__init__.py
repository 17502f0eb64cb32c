"""Stand-ins for external systems: engines, services, log service, cloud.

They serve tests and local demonstrations.  Those that ``scripts/up``
starts run as separate processes and use HTTP with JSON bodies; pearrun
talks to the real platform through the same protocols.
"""
