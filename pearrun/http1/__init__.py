"""HTTP/1.1 connections on asyncio, parsed and framed by h11.

``server`` receives callers' requests, ``client`` sends requests to
endpoints and to the platform, ``pool`` keeps idle client connections.
"""
