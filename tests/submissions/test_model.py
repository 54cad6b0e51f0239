import unittest

from hypothesis import given, strategies as st

from magnoliapier.submissions.model import TaskName


class TaskNameTests(unittest.TestCase):
    def test_name_is_parsed(self):
        """Guards against an end that is not matched with its task."""
        name = TaskName("a" * 16, 2, 0, 17)
        self.assertEqual(TaskName.parse(str(name)), name)

    def test_other_texts_are_refused(self):
        """Guards against a name that stands for another task than it says (TWICE)."""
        for text in (
            "",
            "a",
            "a.0.0",
            "a.0.0.0.0",
            "a.0.0.-1",
            "a.0.-1.0",
            "a.-1.0.0",
            "a.0.0.+1",
            "a.0. 0.0",
            "a.0.0.1_0",
            "a.0.0.\u0663",
            "a.0.0.",
            "a.0.0." + "9" * 5000,
        ):
            with self.subTest(text[:20]), self.assertRaises(ValueError):
                TaskName.parse(text)

    @given(st.text("0123456789.-+_ a", max_size=12))
    def test_an_accepted_name_is_written_as_it_was_read(self, text):
        """Guards against two texts that name the same task."""
        try:
            name = TaskName.parse(text)
        except ValueError:
            return
        self.assertEqual(str(name), text)
