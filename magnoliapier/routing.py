"""The choice of an endpoint for a request."""

from magnoliapier.ejection import UNLIMITED

# Random picks before a request with excluded endpoints looks through all.
PICKS = 8
# About the time between reports of peers, after which shares may fit again.
HOLD_S = 0.5
MAX_HOLD_S = 1.0


class IndexedSet:
    """A set with random choice, insertion and removal in constant time."""

    def __init__(self):
        self._items = []
        self._places = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Add a hashable item; one that is present stays."""
        if item not in self._places:
            self._places[item] = len(self._items)
            self._items.append(item)

    def discard(self, item):
        """Remove an item if it is present."""
        place = self._places.pop(item, None)
        if place is None:
            return
        last = self._items.pop()
        if place < len(self._items):
            self._items[place] = last
            self._places[last] = place

    def pick(self, random):
        """Return a random item."""
        return self._items[int(random.random() * len(self._items))]


class EndpointPool:
    """
    The endpoints of one service, and which of them can take a request now.

    Endpoints of the own data centre come first. Of two random ones with room the
    less loaded is taken, which costs the same for any number of endpoints.
    """

    def __init__(self, data_centre, random, ejections):
        self._data_centre = data_centre
        self._random = random
        self._ejections = ejections
        self._clear()
        self._holds = {}
        self._hosts = {}
        self._staying = 0
        self.endpoints = {}
        self.in_flight = 0

    def _clear(self):
        # Endpoints with room in our share, and with room if we borrow.
        self._near, self._far = IndexedSet(), IndexedSet()
        self._near_wide, self._far_wide = IndexedSet(), IndexedSet()
        self._own = set()
        self._caps = {}
        self.usable_slots = 0
        self.slots = 0

    @property
    def has_wide_room(self):
        """Whether some endpoint may have a slot that others leave unused."""
        return len(self._near_wide) > 0 or len(self._far_wide) > 0

    @property
    def has_room(self):
        """Whether some endpoint can take a request now."""
        return len(self._near) > 0 or len(self._far) > 0

    @property
    def is_busy(self):
        """Whether more than half of the slots that may be used are in use."""
        return 2 * self.in_flight > self.usable_slots

    @property
    def has_staying(self):
        """Whether some endpoint is not leaving."""
        return self._staying > 0

    def endpoints_on(self, host):
        """Return the endpoints of a host."""
        return self._hosts.get(host, ())

    def set_leaving(self, endpoint, leaving):
        """Stop new work for an endpoint, or allow it again."""
        if endpoint.leaving != leaving:
            endpoint.leaving = leaving
            self._staying += -1 if leaving else 1
            self.refresh(endpoint)

    def replace(self, endpoints):
        """Set the endpoints, a dict from name to EndpointEntry."""
        self.endpoints = endpoints
        self._clear()
        self.in_flight = sum(e.in_flight for e in endpoints.values())
        self._hosts = {}
        for endpoint in endpoints.values():
            self._hosts.setdefault(endpoint.host, []).append(endpoint)
            self.refresh(endpoint)
        self._staying = sum(not e.leaving for e in endpoints.values())

    def refresh(self, endpoint):
        """Take note of a change of an endpoint's share, health or load."""
        health = self._ejections.health(endpoint.name)
        endpoint.ejected = health.state == "ejected"
        stopped = endpoint.leaving or health.until > 0.0
        wide = 0 if stopped else min(endpoint.slots, health.limit)
        own = min(endpoint.share, wide)
        hold = self._holds.get(endpoint.name)
        if hold is not None:
            wide = min(wide, hold[0])
        cap = min(own, wide)
        _, old_slots, _, old_own = self._caps.get(endpoint.name, (0, 0, 0, 0))
        slots = 0 if stopped else endpoint.slots
        # Holds pass; the slots that are planned with do not change with them.
        self.usable_slots += own - old_own
        self.slots += slots - old_slots
        self._caps[endpoint.name] = (cap, slots, wide, own)
        if endpoint.share > 0 and not stopped:
            self._own.add(endpoint.name)
        else:
            self._own.discard(endpoint.name)
        self._place(endpoint)

    def _place(self, endpoint):
        near = endpoint.data_centre == self._data_centre
        cap, _, wide, _ = self._caps[endpoint.name]
        group = self._near if near else self._far
        if endpoint.in_flight < cap:
            group.add(endpoint.name)
        else:
            group.discard(endpoint.name)
        group = self._near_wide if near else self._far_wide
        if endpoint.in_flight < wide:
            group.add(endpoint.name)
        else:
            group.discard(endpoint.name)

    def hold(self, endpoint, now):
        """
        Send a busy endpoint no more than it runs for us now, then one more at a time.

        Each busy answer in a row doubles the time to the next attempt, since it costs
        a request the use of the endpoint. Requests that ran into their deadline hold
        nothing: under overload they would stop an entry host altogether, as its next
        requests are the ones closest to their deadlines.
        """
        previous = self._holds.get(endpoint.name)
        seconds = HOLD_S if previous is None else min(2 * previous[2], MAX_HOLD_S)
        self._holds[endpoint.name] = (endpoint.in_flight, now + seconds, seconds)
        self.refresh(endpoint)

    def raise_holds(self, now):
        """Raise the holds that lasted long enough; drop those that limit nothing."""
        due = [(n, hold) for n, hold in self._holds.items() if hold[1] <= now]
        for name, (cap, _, seconds) in due:
            endpoint = self.endpoints.get(name)
            if endpoint is None or cap > endpoint.in_flight + 1:
                # The last raise was not used up; nothing shows that it would fail.
                del self._holds[name]
            else:
                self._holds[name] = (cap + 1, now + seconds, seconds)
            if endpoint is not None:
                self.refresh(endpoint)

    def begin(self, endpoint):
        """Count a request that starts on an endpoint."""
        endpoint.in_flight += 1
        self.in_flight += 1
        self._place(endpoint)

    def end(self, endpoint):
        """Count a request that ended on an endpoint."""
        endpoint.in_flight -= 1
        if self.endpoints.get(endpoint.name) is endpoint:
            self.in_flight -= 1
            self._place(endpoint)

    def choose(self, request):
        """Return an endpoint with room that the request may use, or None."""
        return self._choose_from(self._near, request) or self._choose_from(
            self._far, request
        )

    def choose_wide(self, request):
        """
        Return an endpoint that may have a slot to borrow, or None.

        A busy answer excludes the endpoint, so half of those that this entry host
        has a share in are kept for when its share has room.
        """
        excluded = request.excluded
        own = sum(name in self._own for name in excluded) if excluded else 0
        if 2 * (own + 1) <= len(self._own):
            endpoint = self._choose_from(self._near_wide, request)
            if endpoint is not None:
                return endpoint
        return self._choose_from(self._far_wide, request)

    def _choose_from(self, group, request):
        if not group:
            return None
        first = self._pick(group, request)
        if first is None:
            return None
        if len(group) == 1:
            return first
        second = self._pick(group, request)
        return first if self._load(first) <= self._load(second) else second

    def _pick(self, group, request):
        for _ in range(PICKS):
            endpoint = self.endpoints[group.pick(self._random)]
            if self.allows(endpoint, request):
                return endpoint
        for name in group:
            if self.allows(self.endpoints[name], request):
                return self.endpoints[name]
        return None

    def has_spare_slot(self, endpoint):
        """Return whether an endpoint of ours has no room in our share, but a slot."""
        caps = self._caps.get(endpoint.name)
        if caps is None or self.endpoints[endpoint.name] is not endpoint:
            return False
        trusted = self._ejections.health(endpoint.name).limit == UNLIMITED
        return caps[1] > endpoint.in_flight >= caps[0] and trusted

    def allows(self, endpoint, request):
        """Return whether a request may be sent to an endpoint."""
        if endpoint.name in request.excluded:
            return False
        # Only idempotent requests probe an endpoint that is not trusted.
        if request.idempotent:
            return True
        return self._ejections.health(endpoint.name).limit == UNLIMITED

    def _load(self, endpoint):
        health = self._ejections.health(endpoint.name)
        return (endpoint.in_flight + 1 + health.score) / (endpoint.share or 1)

    def has_alternative(self, request):
        """Return whether an endpoint is left that the request was not sent to."""
        if len(request.excluded) < len(self.endpoints):
            excluded = request.excluded
            return any(
                not endpoint.leaving and name not in excluded
                for name, endpoint in self.endpoints.items()
            )
        return False
