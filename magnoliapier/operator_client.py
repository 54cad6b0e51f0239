"""Client of the operators' HTTP interface of a control process."""

import json
import time
import uuid
from urllib.parse import urlencode

import urllib3

from magnoliapier.auth import make_token
from magnoliapier.exceptions import (
    AuthenticationError,
    MagnoliapierError,
    ManifestConflictError,
    ManifestError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from magnoliapier.manifest import Problem

CALL_TIMEOUT_S = 15.0
COMMIT_ATTEMPTS = 5
COMMIT_RETRY_DELAY_S = 1.0


class OperatorClient:
    """
    Calls one control process as an operator.

    ``key`` is ``auth.operator_key`` of the settings. It signs a token for each call
    and is never sent.

    Example::

        client = OperatorClient("127.0.0.1:8091", key, "ann")
        client.status()["entry_hosts"]
    """

    def __init__(self, address, key, operator):
        self._url = f"http://{address}"
        self._key = key
        self._operator = operator
        self._pool = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def close(self):
        """Close idle connections."""
        self._pool.clear()

    def manifest(self):
        """Return ``version``, ``seq`` and ``manifest`` in force."""
        return self._call("GET", "/manifest")

    def commit(self, values, base_version):
        """
        Commit a manifest and return its ``version`` and ``seq``.

        If the response is lost, the commit is repeated with the same id, which the
        server recognises, so that it takes effect at most once.
        """
        body = {
            "manifest": values,
            "base_version": base_version,
            "id": uuid.uuid4().hex,
        }
        for attempt in range(COMMIT_ATTEMPTS):
            try:
                return self._call("POST", "/manifest/commit", body)
            except StoreOutcomeUnknownError:
                if attempt == COMMIT_ATTEMPTS - 1:
                    raise
                time.sleep(COMMIT_RETRY_DELAY_S)
        raise AssertionError("unreachable")

    def history(self):
        """Return the commits that the log still holds, oldest first."""
        return self._call("GET", "/history")["commits"]

    def status(self):
        """Return ``entry_hosts``, ``store_available`` and ``planner``."""
        return self._call("GET", "/status")

    def hosts(self):
        """Return the hosts with pool, state and reason."""
        return self._call("GET", "/hosts")["hosts"]

    def drain(self, host, reason):
        """Stop new work for a host."""
        return self._call("POST", f"/hosts/{host}/drain", {"reason": reason})

    def undrain(self, host):
        """Return a draining host to its pool."""
        return self._call("POST", f"/hosts/{host}/undrain", {})

    def cancel(self, kind, name):
        """Cancel a job or a maintenance."""
        return self._call("POST", "/cancel", {"kind": kind, "name": name})

    def forget(self, name):
        """Remove the record of an entry host that is gone."""
        return self._call("POST", f"/entry-hosts/{name}/forget", {})

    def explain(self, subject):
        """Return what is recorded about a subject such as ``host/w-17``."""
        return self._call("GET", "/explain?" + urlencode({"subject": subject}))

    def watch(self, since):
        """Return the newest ``seq`` and the ``entries`` after ``since``."""
        return self._call("GET", f"/watch?since={since}")

    def _call(self, method, path, body=None):
        token = make_token(self._key, self._operator, time.time())
        headers = {"Authorization": f"Bearer {token}"}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            response = self._pool.request(
                method, self._url + path, body=data, headers=headers, redirect=False
            )
            values = json.loads(response.data)
        except urllib3.exceptions.NewConnectionError:
            raise StoreUnavailableError(
                f"No control process listens at {self._url}; "
                "name another one with --server."
            ) from None
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknownError(
                f"The response of {self._url} was lost ({type(error).__name__}); "
                "check the status before you repeat the call."
            ) from None
        except ValueError:
            raise MagnoliapierError(
                f"{self._url} did not return JSON; "
                "give a control process's operator_address with --server."
            ) from None
        if not isinstance(values, dict):
            raise MagnoliapierError(
                f"{self._url} did not return a JSON object; "
                "give a control process's operator_address with --server."
            )
        if response.status != 200:
            raise error_from_response(response.status, values)
        return values


def error_from_response(status, values):
    """Return the exception for an error response."""
    message = values.get("message", f"The server answered {status}.")
    if values.get("error") == "manifest_invalid":
        return ManifestError(Problem(**problem) for problem in values["problems"])
    if values.get("error") == "manifest_conflict":
        changes = "\n".join(f"  {change}" for change in values["changes"])
        return ManifestConflictError(f"{message}\n{changes}".rstrip())
    kinds = {401: AuthenticationError, 503: StoreUnavailableError}
    if status == 504:
        return StoreOutcomeUnknownError(message)
    return kinds.get(status, MagnoliapierError)(message)
