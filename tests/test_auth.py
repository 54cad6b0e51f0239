import unittest

from magnoliapier.auth import check_token, make_token, open_sealed, seal
from magnoliapier.exceptions import AuthenticationError


class AuthTests(unittest.TestCase):
    def test_round_trip(self):
        self.assertEqual(open_sealed("k", seal("k", b"data")), b"data")
        self.assertEqual(check_token("k", make_token("k", "ann", 100), 130), "ann")

    def test_refuses_changed_message(self):
        sealed = bytearray(seal("k", b"data"))
        sealed[-1] ^= 1
        for forged in (bytes(sealed), b"", b"short", seal("other", b"data")):
            with self.assertRaises(AuthenticationError):
                open_sealed("k", forged)

    def test_refuses_bad_tokens(self):
        token = make_token("k", "ann", 100)
        for key, text, now in (
            ("k", token, 200),
            ("other", token, 100),
            ("", make_token("", "ann", 100), 100),
            ("k", "ann", 100),
            ("k", "ann:x:00", 100),
            ("k", "", 100),
        ):
            with self.assertRaises(AuthenticationError):
                check_token(key, text, now)
