"""A waitress server that runs in a background thread and can be closed at once."""

import contextlib
import threading

import waitress
from waitress import wasyncore

from magnoliapier.exceptions import AddressInUseError
from magnoliapier.transport import parse_address

LOOP_TIMEOUT_S = 1.0


class HttpServer:
    """
    Serves a WSGI application on ``IP:port``; port 0 selects a free port.

    ``dispatcher`` replaces waitress's task dispatcher, and ``options`` are waitress
    adjustments. The I/O loop is run here, because ``waitress.serve`` returns only after
    its last connection has ended, which idle connections can delay without limit.

    Raise AddressInUseError if the address cannot be bound.
    """

    def __init__(self, application, address, dispatcher=None, **options):
        host, port = parse_address(address)
        self._map = {}
        try:
            self._server = waitress.create_server(
                application,
                map=self._map,
                host=host,
                port=port,
                _dispatcher=dispatcher,
                clear_untrusted_proxy_headers=True,
                **options,
            )
        except OSError as error:
            raise AddressInUseError(
                f"Cannot listen on {address}: {error.strerror}. "
                "Choose a free address in the settings."
            ) from None
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"http-{port}", daemon=True
        )

    @property
    def address(self):
        """The IP:port that the server listens on."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    @property
    def server(self):
        """The waitress server."""
        return self._server

    def start(self):
        """Start the I/O loop in a thread; return self."""
        self._thread.start()
        return self

    def stop_accepting(self):
        """Close the listening socket; open connections are still served."""
        self._server.accepting = False
        self._server.del_channel(self._map)
        self._server.socket.close()

    def close(self):
        """Stop the I/O loop and close all connections."""
        self._stopped.set()
        self._server.pull_trigger()
        if self._thread.is_alive():
            self._thread.join()
        self._server.task_dispatcher.shutdown(cancel_pending=True, timeout=1)
        for channel in list(self._map.values()):
            with contextlib.suppress(OSError):
                channel.close()

    def _run(self):
        while not self._stopped.is_set():
            wasyncore.loop(
                timeout=LOOP_TIMEOUT_S, use_poll=True, map=self._map, count=1
            )
