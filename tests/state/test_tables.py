import unittest

from magnoliapier.state.tables import intake_part, intake_parts


class PartTests(unittest.TestCase):
    """
    The pattern of a burst on a slow store: many submissions while a part takes few
    transactions a second.
    """

    def test_submissions_never_share_the_holders_part(self):
        """Guards against a burst of submissions that delays the lease's renewal."""
        for digit in "0123456789abcdef":
            part = intake_part("desk", digit * 16)
            self.assertNotEqual(part, "desk")
            self.assertIn(part, intake_parts("desk"))
