"""Stand-ins for the platform: engines, services, log service, cloud.

Each runs as its own process and speaks plain HTTP with JSON bodies.
They exist for tests and for ``scripts/up``; pearrun meets the real
platform through the same protocols.
"""
