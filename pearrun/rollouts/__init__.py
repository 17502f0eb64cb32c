"""Roll-outs of new versions of services."""
