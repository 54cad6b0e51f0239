"""Choose the endpoint that a request is sent to."""

from magnoliapier.ejection import UNLIMITED

# Random picks for a request before all endpoints are tried in turn, which finds one
# even if most are excluded.
RANDOM_PICKS = 8
# Time until a busy limit is first raised: about the interval between peer reports,
# because the next report may correct the shares.
BUSY_LIMIT_S = 0.5
MAX_BUSY_LIMIT_S = 1.0


class IndexedSet:
    """A set whose insertion, removal and random choice take constant time."""

    def __init__(self):
        self._items = []
        self._indexes = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Add a hashable item unless it is present."""
        if item not in self._indexes:
            self._indexes[item] = len(self._items)
            self._items.append(item)

    def discard(self, item):
        """Remove an item if it is present."""
        index = self._indexes.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if index < len(self._items):
            self._items[index] = last
            self._indexes[last] = index

    def pick(self, random):
        """Return a random item."""
        return self._items[int(random.random() * len(self._items))]


class EndpointPool:
    """
    The endpoints of one service, and which of them can take a request now.

    Endpoints in this entry host's data centre are preferred. The pool picks two
    random endpoints with room and chooses the less loaded one, so the cost does not
    depend on the number of endpoints.

    ``usable_slots`` counts the slots that this entry host's shares let it use, and
    ``slots`` all slots of the endpoints that take new work.
    """

    def __init__(self, data_centre, random, ejections):
        self._data_centre = data_centre
        self._random = random
        self._ejections = ejections
        self._clear()
        self._busy_limits = {}
        self._hosts = {}
        self._remaining = 0
        self.endpoints = {}
        self.in_flight = 0

    def _clear(self):
        # Endpoints with room within this entry host's share.
        self._local, self._remote = IndexedSet(), IndexedSet()
        # Endpoints with room if slots beyond the share may be borrowed.
        self._local_to_borrow, self._remote_to_borrow = IndexedSet(), IndexedSet()
        # Endpoints that take new work and in which this entry host has a share.
        self._with_share = set()
        # By endpoint: limit within the share, slots, limit with borrowed slots, and
        # limit within the share before any busy limit.
        self._limits = {}
        self.usable_slots = 0
        self.slots = 0

    @property
    def has_room_to_borrow(self):
        """Whether some endpoint may have a slot that other entry hosts do not use."""
        return len(self._local_to_borrow) > 0 or len(self._remote_to_borrow) > 0

    @property
    def has_room(self):
        """Whether some endpoint can take a request now within the share."""
        return len(self._local) > 0 or len(self._remote) > 0

    @property
    def is_busy(self):
        """Whether more than half of the slots that may be used are in use."""
        return 2 * self.in_flight > self.usable_slots

    @property
    def has_remaining_endpoint(self):
        """Whether some endpoint is not leaving."""
        return self._remaining > 0

    def endpoints_on(self, host):
        """Return the endpoints that run on a host."""
        return self._hosts.get(host, ())

    def set_leaving(self, endpoint, leaving):
        """Set whether an endpoint is leaving and so gets no new work."""
        if endpoint.leaving != leaving:
            endpoint.leaving = leaving
            self._remaining += -1 if leaving else 1
            self.refresh(endpoint)

    def replace(self, endpoints):
        """Replace the endpoints with a dict from name to EndpointEntry."""
        self.endpoints = endpoints
        self._clear()
        self.in_flight = sum(e.in_flight for e in endpoints.values())
        self._hosts = {}
        for endpoint in endpoints.values():
            self._hosts.setdefault(endpoint.host, []).append(endpoint)
            self.refresh(endpoint)
        self._remaining = sum(not e.leaving for e in endpoints.values())

    def refresh(self, endpoint):
        """Recompute an endpoint's limits from its share, health and busy limit."""
        health = self._ejections.health(endpoint.name)
        endpoint.ejected = health.state == "ejected"
        stopped = endpoint.leaving or health.until > 0.0
        total_limit = 0 if stopped else min(endpoint.slots, health.limit)
        planned_limit = min(endpoint.share, total_limit)
        busy_limit = self._busy_limits.get(endpoint.name)
        if busy_limit is not None:
            total_limit = min(total_limit, busy_limit[0])
        share_limit = min(planned_limit, total_limit)
        _, old_slots, _, old_planned = self._limits.get(endpoint.name, (0, 0, 0, 0))
        slots = 0 if stopped else endpoint.slots
        # Busy limits are temporary, so they do not change the number of slots that
        # admission and scheduling plan with.
        self.usable_slots += planned_limit - old_planned
        self.slots += slots - old_slots
        self._limits[endpoint.name] = (share_limit, slots, total_limit, planned_limit)
        if endpoint.share > 0 and not stopped:
            self._with_share.add(endpoint.name)
        else:
            self._with_share.discard(endpoint.name)
        self._update_room(endpoint)

    def _update_room(self, endpoint):
        is_local = endpoint.data_centre == self._data_centre
        share_limit, _, total_limit, _ = self._limits[endpoint.name]
        group = self._local if is_local else self._remote
        if endpoint.in_flight < share_limit:
            group.add(endpoint.name)
        else:
            group.discard(endpoint.name)
        group = self._local_to_borrow if is_local else self._remote_to_borrow
        if endpoint.in_flight < total_limit:
            group.add(endpoint.name)
        else:
            group.discard(endpoint.name)

    def limit_busy_endpoint(self, endpoint, now):
        """
        Limit a busy endpoint to the requests that it runs for this entry host now.

        ``raise_busy_limits`` raises the limit by one request at a time. Each busy
        answer in a row doubles the time until then, up to MAX_BUSY_LIMIT_S, because a
        busy answer excludes the endpoint for the request that got it.

        A timeout must not limit an endpoint. Under overload it would stop the entry
        host altogether, because its next requests are those closest to their deadlines.
        """
        previous = self._busy_limits.get(endpoint.name)
        seconds = (
            BUSY_LIMIT_S if previous is None else min(2 * previous[2], MAX_BUSY_LIMIT_S)
        )
        self._busy_limits[endpoint.name] = (endpoint.in_flight, now + seconds, seconds)
        self.refresh(endpoint)

    def raise_busy_limits(self, now):
        """Raise the busy limits that are due; drop those that are not reached."""
        due = [(n, entry) for n, entry in self._busy_limits.items() if entry[1] <= now]
        for name, (limit, _, seconds) in due:
            endpoint = self.endpoints.get(name)
            if endpoint is None or limit > endpoint.in_flight + 1:
                # The last raise was not used up, so nothing shows that the endpoint
                # would refuse more requests.
                del self._busy_limits[name]
            else:
                self._busy_limits[name] = (limit + 1, now + seconds, seconds)
            if endpoint is not None:
                self.refresh(endpoint)

    def begin(self, endpoint):
        """Count a request that starts on an endpoint."""
        endpoint.in_flight += 1
        self.in_flight += 1
        self._update_room(endpoint)

    def end(self, endpoint):
        """Count a request that ended on an endpoint."""
        endpoint.in_flight -= 1
        if self.endpoints.get(endpoint.name) is endpoint:
            self.in_flight -= 1
            self._update_room(endpoint)

    def choose(self, request):
        """Return an endpoint with room that the request may use, or None."""
        return self._choose_from(self._local, request) or self._choose_from(
            self._remote, request
        )

    def choose_to_borrow(self, request):
        """
        Return an endpoint that may have a slot to borrow, or None.

        A busy answer excludes the endpoint for the request. So that a request can
        still use this entry host's share when it has room, local endpoints are tried
        only while at most half of the endpoints with a share would then be excluded.
        """
        excluded = request.excluded
        lost = sum(name in self._with_share for name in excluded) if excluded else 0
        if 2 * (lost + 1) <= len(self._with_share):
            endpoint = self._choose_from(self._local_to_borrow, request)
            if endpoint is not None:
                return endpoint
        return self._choose_from(self._remote_to_borrow, request)

    def _choose_from(self, group, request):
        if not group:
            return None
        first = self._pick_allowed(group, request)
        if first is None:
            return None
        if len(group) == 1:
            return first
        second = self._pick_allowed(group, request)
        return first if self._load(first) <= self._load(second) else second

    def _pick_allowed(self, group, request):
        for _ in range(RANDOM_PICKS):
            endpoint = self.endpoints[group.pick(self._random)]
            if self.allows(endpoint, request):
                return endpoint
        for name in group:
            if self.allows(self.endpoints[name], request):
                return self.endpoints[name]
        return None

    def has_free_slot_beyond_share(self, endpoint):
        """
        Return whether an endpoint has a free slot but this entry host's share is full.

        Only the requests of this entry host are counted. The result is false if the
        endpoint was replaced or its health limits its requests.
        """
        limits = self._limits.get(endpoint.name)
        if limits is None or self.endpoints[endpoint.name] is not endpoint:
            return False
        trusted = self._ejections.health(endpoint.name).limit == UNLIMITED
        return limits[1] > endpoint.in_flight >= limits[0] and trusted

    def allows(self, endpoint, request):
        """Return whether a request may be sent to an endpoint."""
        if endpoint.name in request.excluded:
            return False
        # An endpoint that is probed or limited gets only idempotent requests, because
        # these may be sent again if it fails.
        if request.idempotent:
            return True
        return self._ejections.health(endpoint.name).limit == UNLIMITED

    def _load(self, endpoint):
        health = self._ejections.health(endpoint.name)
        return (endpoint.in_flight + 1 + health.score) / (endpoint.share or 1)

    def has_alternative(self, request):
        """Return whether the request may still be sent to another endpoint."""
        if len(request.excluded) < len(self.endpoints):
            excluded = request.excluded
            return any(
                not endpoint.leaving and name not in excluded
                for name, endpoint in self.endpoints.items()
            )
        return False
