"""
Functions that start the faults of a request replay, by fault kind.

``store_down`` only affects claims. ``endpoint_failing`` answers the share ``value`` of
requests with a 5xx at once, and ``endpoint_slow`` adds ``value`` seconds to each run.
``endpoint_down`` and ``rack_lost`` refuse connections and reset the open ones.
``endpoint_silent`` stops all responses on the connections that are open when it starts,
and on the share ``value`` of sends on connections opened later while it lasts; entry
hosts detect this after SILENCE_TIMEOUT_S. ``reports_lost`` stops the demand reports of
the entry host ``target``.
"""

from magnoliapier.registry import Registry
from magnoliapier.request_replay.entries import GRANT_LIFETIME_S

fault_starters = Registry("request fault")


@fault_starters.register("endpoint_failing")
@fault_starters.register("endpoint_slow")
@fault_starters.register("store_down")
def start_per_request_fault(replay, fault):
    """Activate a fault that is checked for each request."""
    replay.begin_fault(fault)


@fault_starters.register("endpoint_down")
@fault_starters.register("rack_lost")
def start_endpoint_loss(replay, fault):
    """Activate the fault and reset the connections of the endpoints that go down."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(replay.is_down):
        replay.reset_sends(endpoint)


@fault_starters.register("endpoint_silent")
def start_endpoint_silence(replay, fault):
    """Activate the fault and silence the open connections of a host."""
    replay.begin_fault(fault)
    for endpoint in replay.endpoints_where(lambda e: e.host == fault.target):
        replay.silence_sends(endpoint)


@fault_starters.register("data_centre_cut")
def start_data_centre_cut(replay, fault):
    """
    Disconnect a data centre from the others.

    Grants across the cut expire after GRANT_LIFETIME_S.
    """
    replay.cut_since[fault.target] = replay.now
    end = replay.now + fault.duration_s

    def renew_grants():
        for entry in replay.entries():
            replay.send_fleet(entry)

    def reconnect():
        replay.cut_since.pop(fault.target, None)
        renew_grants()

    replay.schedule(replay.now + GRANT_LIFETIME_S, renew_grants)
    replay.schedule(end, reconnect)


@fault_starters.register("entry_paused")
def start_entry_pause(replay, fault):
    """Pause an entry host."""
    replay.entry(fault.target).paused_until = replay.now + fault.duration_s


@fault_starters.register("entry_restart")
def start_entry_restart(replay, fault):
    """Restart an entry host; it loses its requests."""
    replay.restart_entry(replay.entry(fault.target), fault.duration_s)


@fault_starters.register("reports_lost")
def start_report_loss(replay, fault):
    """Stop the demand reports of an entry host."""
    end = replay.now + fault.duration_s
    replay.entry(fault.target).reports_stopped_until = end
