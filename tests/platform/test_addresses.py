import unittest

from hypothesis import example, given, settings, strategies as st
from yarl import URL

from magnoliapier.exceptions import MessageError
from magnoliapier.platform.addresses import check_address, check_endpoint_id

ADDRESSES = (
    "10.128.0.9:8080",
    "127.0.0.1:1",
    "[fd00::7]:65535",
    "runner-7.bergen.example:8080",
    "localhost:0080",
)
ODD_ADDRESSES = (
    "",
    ":8080",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999",
    "10.0.0.1:" + "9" * 5000,
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1:http",
    "10.0.0.1:\u0663",
    "10.0.0.1:80 ",
    "10.0.0.1:80\n",
    " 10.0.0.1:80",
    "10.0.0 1:80",
    "10.0.0.1\x00:80",
    "user:secret@10.0.0.1:80",
    "10.0.0.1:80/path",
    "10.0.0.1:80?query",
    "10.0.0.1:80#fragment",
    "999.1.1.1:80",
    "127.1:80",
    "2130706433:80",
    "::1:80",
    "[::1:80",
    "[::1]]:80",
    "[10.0.0.1]:80",
    "[]:80",
    "r\u00e9seau.example:80",
    "\uff11\uff10.0.0.1:80",
    ".:80",
    "a..b:80",
    "-a.example:80",
    "a" * 64 + ":80",
    "a." * 130 + "b:80",
)
ODD_IDS = ("", "a\nb", "a\r\nX: y", "a\x00", "a\x7f", "a b", "\u00e9", "\u65e5")


class AddressTests(unittest.TestCase):
    def test_addresses_that_can_be_called_are_accepted(self):
        """Guards against endpoints that are not used although they could be."""
        for address in ADDRESSES:
            with self.subTest(address):
                check_address(address)

    def test_other_addresses_are_refused(self):
        """Guards against an address that fails in each call instead of once."""
        for address in ODD_ADDRESSES:
            with self.subTest(address), self.assertRaises(MessageError) as caught:
                check_address(address)
            self.assertLess(len(str(caught.exception)), 500)

    @settings(max_examples=500, deadline=None)
    @given(
        st.one_of(
            st.text(max_size=30),
            st.text("0123456789.:[]@/?#%- ab\n", max_size=24),
            st.from_regex(r"[0-9a-z.-]{1,20}:[0-9]{1,7}\Z"),
        )
    )
    @example("a.:80")
    @example("xn--:80")
    def test_an_accepted_address_makes_a_url_of_its_own(self, address):
        """Guards against an address that a URL refuses or reads as something else."""
        try:
            check_address(address)
        except MessageError:
            return
        url = URL(f"http://{address}/hold")
        self.assertEqual(url.path, "/hold")
        self.assertIsNone(url.user)
        self.assertEqual(url.query_string, "")
        url.host.encode("idna")

    def test_ids_that_no_header_holds_are_refused(self):
        """Guards against a call that fails because of its header, again and again."""
        check_endpoint_id("i-7f3a91c2")
        for endpoint_id in ODD_IDS:
            with self.subTest(endpoint_id), self.assertRaises(MessageError):
                check_endpoint_id(endpoint_id)
