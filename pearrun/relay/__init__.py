"""Taking one call to an endpoint and its answer back."""
