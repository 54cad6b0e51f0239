import unittest

from magnoliapier.estimates import MAX_KINDS, RunTimeEstimates
from magnoliapier.manifest import Service
from magnoliapier.request_tables import RequestEntry, WorkClass


def request(kind="short/file", declared=WorkClass.SHORT, organisation="desk-a"):
    return RequestEntry("r", "wire", organisation, kind, declared, True, 0.0, 5.0)


class RunTimeEstimatesTest(unittest.TestCase):
    """The learned classes that decide which requests have priority."""

    def setUp(self):
        self.estimates = RunTimeEstimates(Service(pool="wire"))

    def learn(self, estimate, seconds, runs=20):
        for _ in range(runs):
            estimate.add_class_sample(seconds > self.estimates.threshold_s)
            estimate.add_run(seconds)

    def test_wrong_class_is_corrected_either_way(self):
        """Long work declared short must lose its priority; short work must gain it."""
        estimate = self.estimates.find(request())
        self.learn(estimate, 20.0)
        self.assertEqual(estimate.work_class, WorkClass.LONG)
        self.assertAlmostEqual(estimate.mean_s, 20.0, delta=1.0)
        estimate = self.estimates.find(request("long/file", WorkClass.LONG))
        self.learn(estimate, 0.1)
        self.assertEqual(estimate.work_class, WorkClass.SHORT)

    def test_rare_stragglers_leave_a_kind_short(self):
        """One slow request in twenty must not take the priority from its kind."""
        estimate = self.estimates.find(request())
        for number in range(200):
            self.learn(estimate, 5.0 if number % 20 == 0 else 0.1, runs=1)
            self.assertEqual(estimate.work_class, WorkClass.SHORT)

    def test_kinds_chosen_by_callers_are_bounded(self):
        """A caller that sends ever new kinds must not fill the memory."""
        for number in range(3 * MAX_KINDS):
            self.estimates.find(request(f"short/{number}"))
        self.assertLessEqual(len(self.estimates._kinds["desk-a"]), MAX_KINDS + 2)


if __name__ == "__main__":
    unittest.main()
