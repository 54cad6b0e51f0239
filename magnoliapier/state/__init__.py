"""State that survives a restart: leases, table rows and fenced commits."""
