"""
Virtual-time driver of the request decisions.

The driver plays the callers, the entry hosts' I/O and the endpoints of a trace's
manifest around any implementation of RequestDecisions. ``driver`` runs a trace;
``callers``, ``entries``, ``sends`` and ``drains`` are its parts, ``fault_starters``
holds the faults, ``hosts`` what the driver knows of entry hosts and endpoints, and
``records`` the result.
"""
