"""State that outlives a process: leases, rows and grouped commits."""
