"""The fencing tokens of a holder's calls to one endpoint."""


class EndpointFencing:
    """
    Outdates calls that were meant for an earlier incarnation of an endpoint.

    A call without an answer may be carried out seconds later, also by an incarnation
    that started meanwhile: the endpoint's id does not tell the two apart. But each
    incarnation refuses calls whose token is lower than one it has seen. So once it has
    answered a listing with a higher token than all calls that were meant for another
    incarnation, none of them can be carried out there any more.

    The tokens from ``first_token`` to ``last_token`` are this session's own: all calls
    of former holders, and of a closed session, have lower ones. Once they are used up,
    the endpoint can't be used before another holder takes the shard.

    Example::

        fencing = EndpointFencing(first_token=1, last_token=100)
        token = fencing.bind()  # for a call with a deadline on the known clock
        fencing.expect_restart()
        fencing.record_listing(token)  # was requested before
        assert fencing.pending
        fencing.record_listing(fencing.token)
        assert not fencing.pending
    """

    def __init__(self, first_token, last_token):
        self._token = first_token
        self._last_token = last_token
        self._last_bound = self._answered_token = first_token - 1
        self._required_token = first_token
        self._acknowledging_token = None

    @property
    def token(self):
        """Return the token for a call that may reach any incarnation."""
        return self._token

    @property
    def pending(self):
        """Return whether calls for another incarnation may still be carried out."""
        return self._answered_token < self._required_token

    def bind(self):
        """Return the token for a call that is meant for the known incarnation only."""
        self._last_bound = self._token
        return self._token

    @property
    def used_up(self):
        """Return whether no call can outdate the earlier ones any more."""
        return self._token >= self._last_token

    def bind_acknowledgement(self):
        """Return the token of a bound call that acknowledges ends."""
        self._acknowledging_token = self.bind()
        return self._acknowledging_token

    def bind_start(self):
        """
        Return the token of a start order.

        An incarnation that carries it out refuses an acknowledgement that is under way,
        which may be meant for another one and would make it forget an end unread.
        """
        if self._acknowledging_token == self._token:
            self.outdate_calls()
        return self.bind()

    def outdate_calls(self):
        """Let the next answered call outdate all those that were sent before."""
        self._token = min(self._token + 1, self._last_token)

    def expect_restart(self):
        """Require a listing that is requested from now on."""
        self.outdate_calls()
        self._required_token = max(self._token, self._last_bound + 1)

    def begin_incarnation(self):
        """Require a listing that outdates what was meant for other incarnations."""
        self._answered_token = -1
        self._required_token = self._last_bound + 1
        if self._token < self._required_token:
            self.outdate_calls()

    def record_listing(self, token):
        """Record that the known incarnation has answered a listing with ``token``."""
        self._answered_token = max(self._answered_token, token)

    def is_outdated(self, token):
        """Return whether this holder itself has outdated a call with ``token``."""
        return token < self._token
