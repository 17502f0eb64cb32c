"""The load and experiment tool behind ``pearrun bench``.

It drives daemons and stand-ins that are already running on
127.0.0.0/8, with arrivals like a show's audience and faults from a
schedule, bounded in requests and time, and reports the brief's two
measures: cost at the latency target, and recomputed tokens.
"""
