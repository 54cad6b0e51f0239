"""
The faults of a request replay, by the kind that a trace names.

Faults of the store only affect claims. ``endpoint_failing`` answers 5xx at once to
the share ``value`` of requests, ``endpoint_slow`` adds ``value`` seconds to each run,
``endpoint_down`` and ``rack_lost`` refuse connections and reset the open ones.
``endpoint_silent`` silences the connections that are open when it starts, and the
share ``value`` of those opened while it lasts; silence is noticed after
SILENCE_TIMEOUT_S. ``reports_lost`` stops the demand reports of the entry host
``target``.
"""

from magnoliapier.registry import Registry
from magnoliapier.request_replay.entries import GRANT_S

fault_starters = Registry("request fault")


@fault_starters.register("endpoint_failing")
@fault_starters.register("endpoint_slow")
@fault_starters.register("store_down")
def start_plain_fault(replay, fault):
    """Put a fault in force that acts on requests as they come."""
    replay.begin_fault(fault)


@fault_starters.register("endpoint_down")
@fault_starters.register("rack_lost")
def start_loss(replay, fault):
    """Reset the connections of the endpoints that are lost."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(replay.is_down):
        replay.lose_sends(endpoint)


@fault_starters.register("endpoint_silent")
def start_silence(replay, fault):
    """Silence the connections that are open now."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(lambda e: e.host == fault.target):
        replay.silence_sends(endpoint)


@fault_starters.register("data_centre_cut")
def start_cut(replay, fault):
    """Cut a data centre off; grants across the cut expire after GRANT_S."""
    replay.cut[fault.target] = replay.now
    end = replay.now + fault.duration_s

    def renew_grants():
        for entry in replay.entries():
            replay.send_fleet(entry)

    def reconnect():
        replay.cut.pop(fault.target, None)
        renew_grants()

    replay.schedule(replay.now + GRANT_S, renew_grants)
    replay.schedule(end, reconnect)


@fault_starters.register("entry_paused")
def start_pause(replay, fault):
    """Pause an entry host."""
    replay.entry(fault.target).paused_until = replay.now + fault.duration_s


@fault_starters.register("entry_restart")
def start_restart(replay, fault):
    """Restart an entry host, which loses its requests."""
    replay.restart_entry(replay.entry(fault.target), fault.duration_s)


@fault_starters.register("reports_lost")
def start_report_loss(replay, fault):
    """Stop the demand reports of an entry host."""
    end = replay.now + fault.duration_s
    replay.entry(fault.target).reports_stopped_until = end
