"""Usage of each customer: counts, their sums and their persistence."""
