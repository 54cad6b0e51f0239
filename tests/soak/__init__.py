"""A randomized soak test: real processes of the product under injected faults."""
