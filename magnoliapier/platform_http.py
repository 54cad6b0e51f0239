"""The adapter to a platform that speaks the JSON protocol of docs/platform.md."""

import base64
import json
from dataclasses import asdict

import urllib3

from magnoliapier.exceptions import (
    ConflictError,
    FencedError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.platform_api import (
    HostService,
    HostStatus,
    ListedHost,
    ObjectStore,
    Platform,
    Row,
    TableService,
    Task,
    TaskService,
    TaskStatus,
)

MAX_CONNECTIONS = 8


class PlatformClient:
    """
    Sends calls to the platform over HTTP.

    A failed connection or status 503 means that the call had no effect. A lost or
    unreadable response, or another status from 500, leaves the outcome of a write
    unknown, because the request may have arrived.
    """

    def __init__(self, settings):
        self._url = settings.url.rstrip("/")
        self._headers = {"Content-Type": "application/json"}
        if settings.token:
            self._headers["Authorization"] = f"Bearer {settings.token}"
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(
                connect=settings.timeout_s, read=settings.timeout_s
            ),
        )

    def close(self):
        """Close idle connections."""
        self._pool.clear()

    def call(self, path, body, write):
        """
        POST a JSON body to ``path`` and return the JSON response.

        ``write`` is whether the call may change something.
        """
        try:
            response = self._pool.request(
                "POST",
                self._url + path,
                body=json.dumps(body).encode(),
                headers=self._headers,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise StoreUnavailableError(
                f"Cannot connect to the platform: {error}. Check platform.url."
            ) from None
        except urllib3.exceptions.HTTPError as error:
            raise self._failed_call_error(write, type(error).__name__) from None
        return self._parse_response(response, write)

    def _parse_response(self, response, write):
        if response.status == 503:
            raise StoreUnavailableError("The platform is down; try again later.")
        try:
            values = json.loads(response.data)
        except ValueError:
            raise self._failed_call_error(write, "the response is not JSON") from None
        if response.status == 409:
            raise ConflictError(
                {
                    key: Row(**row) if row else None
                    for key, row in values["rows"].items()
                }
            )
        if response.status == 423:
            raise FencedError(values["message"])
        if response.status >= 500:
            raise self._failed_call_error(write, f"status {response.status}")
        if response.status != 200:
            raise PlatformError(
                f"The platform refused a request (status {response.status}): "
                f"{values.get('message')}; "
                "check platform.url and platform.token."
            )
        return values

    def _failed_call_error(self, write, cause):
        if write:
            return StoreOutcomeUnknownError(
                f"The outcome of a write is unknown ({cause}); read the rows back."
            )
        return StoreUnavailableError(f"A read failed ({cause}); try again later.")


class HttpTable(TableService):
    """The table service over HTTP."""

    def __init__(self, client):
        self._client = client

    def read(self, keys):
        """Return the rows that exist among ``keys``."""
        answer = self._client.call("/table/read", {"keys": list(keys)}, write=False)
        return {row["key"]: Row(**row) for row in answer["rows"]}

    def scan(self, prefix):
        """Return the rows under ``prefix``."""
        answer = self._client.call("/table/scan", {"prefix": prefix}, write=False)
        return [Row(**row) for row in answer["rows"]]

    def transact(self, writes, checks=()):
        """Apply all writes or none."""
        body = {
            "writes": [asdict(write) for write in writes],
            "checks": [asdict(check) for check in checks],
        }
        return self._client.call("/table/transact", body, write=True)["versions"]


class HttpObjects(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, client):
        self._client = client

    def get(self, name):
        """Return the bytes under ``name``, or None."""
        data = self._client.call("/objects/get", {"name": name}, write=False)["data"]
        return None if data is None else base64.b64decode(data)

    def put(self, name, data):
        """Store bytes."""
        body = {"name": name, "data": base64.b64encode(data).decode()}
        self._client.call("/objects/put", body, write=True)

    def delete(self, name):
        """Delete ``name`` if it exists."""
        self._client.call("/objects/delete", {"name": name}, write=True)


class HttpHosts(HostService):
    """The host list and reboots over HTTP."""

    def __init__(self, client):
        self._client = client

    def hosts(self):
        """Return the platform's host list."""
        answer = self._client.call("/hosts/list", {}, write=False)
        return [
            ListedHost(
                host["name"],
                HostStatus(host["status"]),
                host["address"],
                host["boots"],
            )
            for host in answer["hosts"]
        ]

    def reboot(self, name, fence):
        """Start a reboot of a host."""
        self._client.call("/hosts/reboot", {"name": name, "fence": fence}, write=True)


class HttpTasks(TaskService):
    """Tasks on workers over HTTP."""

    def __init__(self, client):
        self._client = client

    def start(self, request):
        """Start a task."""
        self._client.call("/tasks/start", asdict(request), write=True)

    def renew(self, task_ids, fence):
        """Extend the leases of running tasks."""
        body = {"task_ids": list(task_ids), "fence": fence}
        self._client.call("/tasks/renew", body, write=True)

    def checkpoint(self, task_id, fence):
        """Checkpoint a task and stop it once the checkpoint is stored."""
        self._post_action("checkpoint", task_id, fence)

    def throttle(self, task_id, share, fence):
        """Limit a task to a share of its cores."""
        self._post_action("throttle", task_id, fence, share=share)

    def stop(self, task_id, fence):
        """Stop a task."""
        self._post_action("stop", task_id, fence)

    def tasks(self):
        """Return all known tasks."""
        answer = self._client.call("/tasks/list", {}, write=False)
        return [
            Task(**{**task, "status": TaskStatus(task["status"])})
            for task in answer["tasks"]
        ]

    def _post_action(self, action, task_id, fence, **options):
        body = {"task_id": task_id, "fence": fence, **options}
        self._client.call(f"/tasks/{action}", body, write=True)


def connect_platform(settings):
    """Return a :class:`Platform` for the ``platform`` section of the settings."""
    client = PlatformClient(settings)
    return Platform(
        HttpTable(client), HttpObjects(client), HttpHosts(client), HttpTasks(client)
    )
