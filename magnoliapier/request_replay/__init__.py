"""
Virtual-time driver that runs the request decisions over a trace.

The driver simulates the callers, the I/O of the entry hosts and the endpoints of the
trace's manifest; any implementation of RequestDecisions can be plugged in. ``driver``
runs a trace and ``callers``, ``entries``, ``sends`` and ``drains`` are its parts.
``fault_starters`` starts the faults, ``hosts`` holds the simulated state of entry hosts
and endpoints, and ``records`` the result.
"""
