"""Which hosts their pools have released, and which releases are not used."""

RELEASE_LIMIT_S = 1.5  # a release without an order for so long is returned
NOT_RETURNED = -1  # below the number of any release


class Releases:
    """
    The releases of the pools' reports, and the numbers of those that were returned.

    ``returned`` maps endpoints to numbers as in the FleetPlan. A release that was
    returned once is never used, nor is an earlier one, whatever the age of the report
    that lists it.

    Example::

        releases = Releases({"e1": 4})
        releases.update({"desk": PoolReport({"e1": "h1"}, release_numbers={"e1": 5})})
        assert releases.is_open(Host("h1", "desk", HostState.UP, endpoint_id="e1"))
    """

    def __init__(self, returned=None):
        self.returned = dict(returned or {})
        self._reports = {}

    def update(self, reports):
        """Replace the pools' reports, by service."""
        self._reports = reports

    def is_open(self, host):
        """Return whether a host's pool has released it and may not use it yet."""
        number = self._number(host)
        return number is not None and number > self._returned_number(host.endpoint_id)

    def give_back(self, host):
        """Return a host to the pool that has released it."""
        self.returned[host.endpoint_id] = self._number(host)

    def give_back_overdue(self, table_ms, may_wait):
        """
        Return the releases that no order has followed in time.

        ``table_ms`` is a lower bound of the present time on the table's clock, 0 if
        unknown. ``may_wait(service, endpoint_id, host)`` returns whether a host stays
        released.
        """
        for service, report in self._reports.items():
            for endpoint_id, host in report.released.items():
                age_ms = table_ms - report.released_ms.get(endpoint_id, table_ms)
                if age_ms < RELEASE_LIMIT_S * 1000:
                    continue
                if may_wait(service, endpoint_id, host):
                    continue
                number = report.release_number(endpoint_id)
                before = self._returned_number(endpoint_id)
                self.returned[endpoint_id] = max(before, number)

    def forget(self, endpoint_ids):
        """Forget the returned releases of all but these and the released endpoints."""
        known = set(endpoint_ids)
        for report in self._reports.values():
            known.update(report.released)
        for endpoint_id in self.returned.keys() - known:
            del self.returned[endpoint_id]

    def _number(self, host):
        """Return the number of a host's release by its pool, or None."""
        report = self._reports.get(host.service)
        return report.release_number(host.endpoint_id) if report else None

    def _returned_number(self, endpoint_id):
        return self.returned.get(endpoint_id, NOT_RETURNED)
