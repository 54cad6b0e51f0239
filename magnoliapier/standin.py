"""
A program that serves a stand-in platform, and endpoints with switchable faults.

It is meant only for tests and the demo, and keeps all data in memory.
"""

import base64
import json
import signal
import threading
import time
from dataclasses import asdict
from pathlib import Path

import typer

from magnoliapier.clock import Clock
from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    UnknownNameError,
)
from magnoliapier.http_server import HttpServer
from magnoliapier.memory_platform import MemoryPlatform
from magnoliapier.platform_api import (
    Check,
    HostStatus,
    ListedHost,
    TaskRequest,
    TaskStatus,
    Write,
)
from magnoliapier.registry import Registry
from magnoliapier.standin_endpoint import StandinEndpoint

SERVER_THREADS = 16
MAX_BODY_BYTES = 16_777_216
ANSWER_LOST_DELAY_S = 0.05
STATUS_TEXT = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    423: "423 Locked",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}

operations = Registry("stand-in operation")


class StandinServer:
    """
    Serves a platform with the HTTP protocol of docs/platform.md.

    It has further operations for tests. ``/hosts/set``, ``/hosts/remove`` and
    ``/tasks/finish`` change hosts and tasks. ``/faults`` takes the fields of
    :class:`magnoliapier.memory_platform.Faults`, and ``/endpoint-faults`` a host name
    and the fields of :class:`magnoliapier.standin_endpoint.EndpointFaults`.
    ``/endpoint-runs`` returns the run counts of requests.
    """

    def __init__(self, platform, address="127.0.0.1:0", endpoints=None):
        self.platform = platform
        self.endpoints = endpoints or {}
        self._server = HttpServer(
            self._application,
            address,
            threads=SERVER_THREADS,
            max_request_body_size=MAX_BODY_BYTES,
        )

    @property
    def address(self):
        """The IP:port that the platform listens on."""
        return self._server.address

    def start(self):
        """Start to serve in a background thread; return self."""
        self._server.start()
        return self

    def close(self):
        """Stop serving."""
        self._server.close()

    def _application(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        status, values = self._answer(
            environ["PATH_INFO"], environ["wsgi.input"].read(length)
        )
        data = json.dumps(values).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(STATUS_TEXT[status], headers)
        return [data]

    def _answer(self, path, data):
        try:
            return 200, operations.get(path)(self, json.loads(data or b"{}"))
        except UnknownNameError as error:
            return 404, {"message": str(error)}
        except ConflictError as error:
            rows = {
                key: asdict(row) if row else None for key, row in error.rows.items()
            }
            return 409, {"rows": rows}
        except FencedError as error:
            return 423, {"message": str(error)}
        except StoreUnavailableError as error:
            return 503, {"message": str(error)}
        except StoreOutcomeUnknownError as error:
            time.sleep(ANSWER_LOST_DELAY_S)
            return 500, {"message": str(error)}
        except (ValueError, KeyError, TypeError) as error:
            return 400, {"message": f"{type(error).__name__}: {error}"}


@operations.register("/table/read")
def read_rows(server, body):
    """Return the rows with the given keys."""
    rows = server.platform.table.read(body["keys"])
    return {"rows": [asdict(row) for row in rows.values()]}


@operations.register("/table/scan")
def scan_rows(server, body):
    """Return the rows whose keys start with a prefix."""
    return {"rows": [asdict(row) for row in server.platform.table.scan(body["prefix"])]}


@operations.register("/table/transact")
def transact(server, body):
    """Apply a transaction."""
    writes = [Write(**write) for write in body["writes"]]
    checks = [Check(**check) for check in body["checks"]]
    return {"versions": server.platform.table.transact(writes, checks)}


@operations.register("/objects/get")
def get_object(server, body):
    """Return the data of an object in base 64, or None."""
    data = server.platform.objects.get(body["name"])
    return {"data": None if data is None else base64.b64encode(data).decode()}


@operations.register("/objects/put")
def put_object(server, body):
    """Store an object."""
    server.platform.objects.put(body["name"], base64.b64decode(body["data"]))
    return {}


@operations.register("/objects/delete")
def delete_object(server, body):
    """Delete an object."""
    server.platform.objects.delete(body["name"])
    return {}


@operations.register("/hosts/list")
def list_hosts(server, body):
    """Return the host list, which lags behind the state of the hosts."""
    return {"hosts": [asdict(host) for host in server.platform.hosts.hosts()]}


@operations.register("/hosts/set")
def set_host(server, body):
    """Add a host to the list or change it."""
    server.platform.hosts.set_host(
        ListedHost(
            body["name"],
            HostStatus(body["status"]),
            body["address"],
            body.get("boots", 0),
        )
    )
    return {}


@operations.register("/hosts/remove")
def remove_host(server, body):
    """Remove a host from the list."""
    server.platform.hosts.remove_host(body["name"])
    return {}


@operations.register("/hosts/reboot")
def reboot_host(server, body):
    """Reboot a host."""
    server.platform.hosts.reboot(body["name"], body["fence"])
    return {}


@operations.register("/tasks/start")
def start_task(server, body):
    """Start a task."""
    server.platform.tasks.start(TaskRequest(**body))
    return {}


@operations.register("/tasks/renew")
def renew_tasks(server, body):
    """Extend the leases of tasks."""
    server.platform.tasks.renew(body["task_ids"], body["fence"])
    return {}


@operations.register("/tasks/checkpoint")
def checkpoint_task(server, body):
    """Checkpoint a task and stop it."""
    server.platform.tasks.checkpoint(body["task_id"], body["fence"])
    return {}


@operations.register("/tasks/throttle")
def throttle_task(server, body):
    """Limit a task to a share of its cores."""
    server.platform.tasks.throttle(body["task_id"], body["share"], body["fence"])
    return {}


@operations.register("/tasks/stop")
def stop_task(server, body):
    """Stop a task."""
    server.platform.tasks.stop(body["task_id"], body["fence"])
    return {}


@operations.register("/tasks/list")
def list_tasks(server, body):
    """Return all tasks."""
    return {"tasks": [asdict(task) for task in server.platform.tasks.tasks()]}


@operations.register("/tasks/finish")
def finish_task(server, body):
    """End a task with a status, as its worker does."""
    server.platform.tasks.finish(body["task_id"], TaskStatus(body["status"]))
    return {}


@operations.register("/faults")
def set_faults(server, body):
    """Set faults of the platform; return all of its faults."""
    set_fields(server.platform.faults, body)
    return asdict(server.platform.faults)


@operations.register("/endpoint-faults")
def set_endpoint_faults(server, body):
    """Set faults of one endpoint; ``silence`` silences its open connections."""
    endpoint = server.endpoints[body.pop("host")]
    if body.pop("silence", False):
        endpoint.silence_connections()
    set_fields(endpoint.faults, body)
    return asdict(endpoint.faults)


@operations.register("/endpoint-runs")
def list_endpoint_runs(server, body):
    """Return the run count of each request on each host."""
    return {host: endpoint.runs for host, endpoint in server.endpoints.items()}


def set_fields(target, values):
    """Set fields of a data class; raise KeyError for a field that it lacks."""
    for name, value in values.items():
        if name not in asdict(target):
            raise KeyError(name)
        setattr(target, name, value)


def start_endpoints(manifest_values, slots=8):
    """Start an endpoint at the address of each host of a manifest."""
    return {
        name: StandinEndpoint(host["address"], slots).start()
        for name, host in manifest_values["hosts"].items()
    }


def main():
    """Run the program ``magnoliapier-standin``."""
    typer.run(serve)


def serve(
    address: str = typer.Option("127.0.0.1:8070", help="IP:port of the platform."),
    manifest: Path = typer.Option(
        None, help="Start an endpoint for each host of this manifest."
    ),
    entry_hosts: str = typer.Option(
        "", help="Entry hosts to list, as name=IP:port, separated by commas."
    ),
):
    """Serve a stand-in platform and endpoints until SIGTERM or SIGINT."""
    platform = MemoryPlatform(Clock())
    endpoints = {}
    if manifest is not None:
        values = json.loads(manifest.read_text(encoding="utf-8"))
        endpoints = start_endpoints(values)
        for name, endpoint in endpoints.items():
            platform.hosts.set_host(ListedHost(name, HostStatus.LIVE, endpoint.address))
    for part in filter(None, entry_hosts.split(",")):
        name, _, host_address = part.partition("=")
        platform.hosts.set_host(ListedHost(name, HostStatus.LIVE, host_address))
    server = StandinServer(platform, address, endpoints).start()
    typer.echo(f"listening on {server.address}")
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    stopped.wait()
    server.close()
    for endpoint in endpoints.values():
        endpoint.close()


if __name__ == "__main__":
    main()
