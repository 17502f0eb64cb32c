"""pearrun's own API (``/v1/...``): requests that survive host failures.

A daemon writes each accepted request to the platform's log and runs it on
an endpoint.  When the endpoint fails, the daemon resumes the request on
another one; when the daemon fails, another daemon takes it over.
``daemon`` starts all parts; ``docs/design.md`` describes how they interact.
"""
