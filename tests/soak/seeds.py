"""Seeds that are run again: a few in CI, and each one that ever broke an invariant."""

CI_SEEDS = (1, 2)

# Each entry is (seed, seconds of faults, cause of the failure).
REGRESSION_SEEDS = (
    (
        51,
        8.0,
        "soak: two stops of one node overlapped, the second killed its successor",
    ),
)
