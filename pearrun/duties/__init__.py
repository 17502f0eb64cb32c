"""Duties that one elected host performs for all: lease, usage, scaling."""
