import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from magnoliapier.exceptions import MagnoliapierError
from magnoliapier.operator_client import OperatorClient


class UnexpectedAnswerTests(unittest.TestCase):
    """Another program answers at the address that an operator gave."""

    def serve(self, status, body):
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                """Write no access log."""

        server = HTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        client = OperatorClient(f"127.0.0.1:{server.server_port}", "key", "ann")
        self.addCleanup(client.close)
        return client

    def test_json_that_is_no_object_is_an_error_with_a_remedy(self):
        """Guards against a traceback where an error message would help."""
        for status in (200, 503):
            for body in (b"[]", b'"up"', b"null"):
                client = self.serve(status, body)
                with self.assertRaisesRegex(MagnoliapierError, "--server"):
                    client.status()
