"""Load tests and experiments: the tool behind ``pearrun bench``.

It sends requests to daemons that are already running on 127.0.0.0/8,
with bursts of arrivals, and injects scheduled faults into their
stand-ins.  The number of requests and the duration are limited.  The
main results are the cost per request answered within the latency
targets and the number of recomputed tokens.
"""
