"""State shared among hosts: configuration, endpoints, peers, duties."""
