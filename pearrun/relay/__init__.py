"""Forwarding of one call to an endpoint and of its response back."""
