from tests.outcomes.samples import (
    PlantedViolationTestCase,
    commit,
    make_report,
    manifest,
    observation,
    run_one,
)

CASES = {
    "commits_kept": (
        {},
        [commit(0, 1, 2), manifest(1, "entry-1", 2)],
        [commit(0, 1, 2), manifest(1, "entry-1", 2), manifest(2, "entry-1", 1)],
        2,
    ),
    "one_commit_per_base": (
        {},
        [commit(0, 1, 2), commit(0, 1, None)],
        [commit(0, 1, 2), commit(0, 1, 3)],
        1,
    ),
    "in_force": (
        {"limit_s": 2.0},
        [commit(0, 1, 2), manifest(2, "entry-1", 2)],
        [commit(0, 1, 2), manifest(2.1, "entry-1", 2)],
        0,
    ),
    "single_planner": (
        {},
        [observation(0, "planner_write", holder="a", epoch=1)]
        + [observation(1, "planner_write", holder="b", epoch=2)],
        [observation(0, "planner_write", holder="b", epoch=2)]
        + [observation(1, "planner_write", holder="a", epoch=1)],
        1,
    ),
}


class StoreCheckTests(PlantedViolationTestCase):
    cases = CASES

    def test_lost_replaced_and_repeated_commits(self):
        for observations in (
            [commit(0, 1, 2), manifest(1, "entry-1", 1)],
            [commit(0, 1, 2), manifest(1, "entry-1", 2, "other")],
            [commit(0, 1, 2), commit(1, 1, 2)],
        ):
            result = run_one("commits_kept", {}, make_report(observations))
            self.assertFalse(result.passed)

    def test_base_without_an_accepted_commit(self):
        observations = [commit(0, 1, None), commit(0, 1, None)]
        result = run_one("one_commit_per_base", {}, make_report(observations))
        self.assertFalse(result.passed)

    def test_two_holders_of_one_epoch(self):
        observations = [
            observation(0, "planner_write", holder=holder, epoch=1) for holder in "ab"
        ]
        result = run_one("single_planner", {}, make_report(observations))
        self.assertFalse(result.passed)
