"""The seeds that CI runs: a few fixed ones and all that ever broke an invariant."""

CI_SEEDS = (1, 2)

# Each entry is (seed, seconds of faults, cause of the failure). Adding or removing a
# fault, or changing the sorted order of the fault names, changes what every seed
# injects, so such a change has to find new seeds. Restarts of endpoints under their ids
# are a series beside it, drawn from random.Random("restarts SEED"), so that they change
# nothing else that a seed injects. The same rule holds for their names. The endpoints
# that are cut off after a restart are a third one, from random.Random("recuts SEED"),
# and orders for hosts that take no effect a fourth, from random.Random("orders SEED").
REGRESSION_SEEDS = (
    (
        51,
        8.0,
        "soak: two stops of a node overlapped and the second killed the new process",
    ),
    (
        43,
        8.0,
        "soak: a process that SIGHUP ended during its start was not started again",
    ),
    (
        261,
        6.0,
        "an unanswered order of the former fleet holder arrived after its successor's",
    ),
    (
        8,
        8.0,
        "confirmed runs of an endpoint that had restarted while idle were given up",
    ),
    (
        3,
        8.0,
        "ends of a restarted endpoint were acknowledged by an earlier one's number",
    ),
    (
        16,
        6.0,
        "late calls to a former incarnation extended a lease and acknowledged ends",
    ),
    (
        26,
        6.0,
        "a late call to a former incarnation extended the lease of a cut off endpoint",
    ),
    (
        29,
        6.0,
        "late calls to a former incarnation extended a lease and started a run again",
    ),
)
