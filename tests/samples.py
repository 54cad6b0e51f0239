"""Builds the small manifests and fleet states that several tests share."""

from magnoliapier.fleet_state import FleetState, LogEntry
from magnoliapier.manifest import digest, make_patch


def sample_manifest(services=("wire", "archive"), hosts=4, data_centres=2):
    """Return a manifest as JSON values: one pool per service, and the spare pool."""
    values = {
        "organisations": {"desk-a": {}, "desk-b": {}, "support": {}},
        "services": {name: {"pool": name} for name in services},
        "pools": {name: {"min_hosts": 1} for name in (*services, "spare")},
        "hosts": {},
    }
    for index, pool in enumerate((*services, "spare")):
        for number in range(hosts):
            centre = number % data_centres + 1
            values["hosts"][f"{pool}-{number}"] = {
                "data_centre": f"dc-{centre}",
                "rack": f"rack-{centre}-{index}-{number // (4 * data_centres)}",
                "pool": pool,
                "address": f"127.0.0.1:{20000 + index * 100 + number}",
            }
    return values


def commit_entry(state, values, seq=None):
    """Return the log entry that commits the manifest ``values`` after ``state``."""
    return LogEntry(
        seq or state.seq + 1,
        "manifest_commit",
        {
            "patch": make_patch(state.manifest_values, values),
            "digest": digest(values),
        },
        entry_id=f"entry-{state.seq + 1}",
        author="test",
        time=0.0,
    )


def sample_state(**options):
    """Return a FleetState with the sample manifest committed."""
    state = FleetState()
    state.apply(commit_entry(state, sample_manifest(**options)))
    return state
