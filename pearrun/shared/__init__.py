"""State that hosts share: configuration, endpoints, peers, duties."""
