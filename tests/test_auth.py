import unittest

from magnoliapier.auth import check_token, make_token, sign_message, verify_message
from magnoliapier.exceptions import AuthenticationError


class AuthTests(unittest.TestCase):
    def test_round_trip(self):
        self.assertEqual(verify_message("k", sign_message("k", b"data")), b"data")
        self.assertEqual(check_token("k", make_token("k", "ann", 100), 130), "ann")

    def test_refuses_changed_message(self):
        signed = bytearray(sign_message("k", b"data"))
        signed[-1] ^= 1
        for forged in (bytes(signed), b"", b"short", sign_message("other", b"data")):
            with self.assertRaises(AuthenticationError):
                verify_message("k", forged)

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
