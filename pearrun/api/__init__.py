"""pearrun's own interface (``/v1/...``): requests that outlive their host.

A daemon accepts a request, writes it to the platform's log, runs it on an
endpoint and goes on elsewhere when the endpoint or the daemon itself ends.
``daemon`` starts all of it; ``docs/design.md`` says who calls whom.
"""
