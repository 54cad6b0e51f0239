"""A randomized soak: the real program as separate processes, under injected faults."""
