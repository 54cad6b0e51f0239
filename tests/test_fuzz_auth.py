import unittest

from hypothesis import given, strategies as st

from magnoliapier.auth import check_token, make_token
from magnoliapier.exceptions import AuthenticationError
from tests.hostile_table import FUZZ_SETTINGS

KEY = "operator-key"
NOW = 1_700_000_000.0
TOKEN = make_token(KEY, "ann", NOW)


class TokenFuzzTests(unittest.TestCase):
    """Guards against forged operator tokens that are accepted or crash the process."""

    def assert_rejected(self, token, key=KEY, now=NOW):
        with self.assertRaises(AuthenticationError):
            check_token(key, token, now)

    @FUZZ_SETTINGS
    @given(st.text(max_size=60))
    def test_any_text(self, token):
        self.assert_rejected(token)

    def test_text_that_is_not_ascii(self):
        """Guards against a TypeError or UnicodeEncodeError raised for such a token."""
        self.assert_rejected("ann:1700000000:\x80")
        self.assert_rejected("\ud800:1700000000:\ud800")

    @FUZZ_SETTINGS
    @given(
        st.text(max_size=10),
        st.sampled_from(["1700000000", "²", "٣", "9" * 5000, "-1", "1e9", ""]),
        st.text(max_size=40),
    )
    def test_parts(self, name, issued_at, tag):
        self.assert_rejected(f"{name}:{issued_at}:{tag}")

    @FUZZ_SETTINGS
    @given(st.integers(0, len(TOKEN) - 1), st.characters())
    def test_one_changed_character(self, position, character):
        token = TOKEN[:position] + character + TOKEN[position + 1 :]
        if token != TOKEN:
            self.assert_rejected(token)

    @FUZZ_SETTINGS
    @given(st.floats(allow_nan=False).filter(lambda now: abs(now - NOW) > 61))
    def test_other_times(self, now):
        self.assert_rejected(TOKEN, now=now)

    @FUZZ_SETTINGS
    @given(st.text(max_size=20), st.text(max_size=20))
    def test_other_keys(self, key, name):
        token = make_token("other", name, NOW)
        self.assert_rejected(token, key=key)

    @FUZZ_SETTINGS
    @given(st.text(min_size=1, max_size=20))
    def test_valid_token_names_its_operator(self, name):
        self.assertEqual(check_token(KEY, make_token(KEY, name, NOW), NOW), name)
