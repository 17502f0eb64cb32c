"""State shared among hosts: configuration, endpoints, peers, quotas."""
