"""Adapter between pearrun and the platform that it is deployed on.

Only this package depends on the platform's settings fields, headers, store
keys and API calls.  It decodes them into the types of the other packages.
``python3 -S deploy/run_host.py`` starts the program on each entry host.
"""
