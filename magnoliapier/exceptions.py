"""Exceptions of the package. Each message says what to do about the error."""


class MagnoliapierError(Exception):
    """
    Base class of all errors raised by this package.

    ``exit_code`` is the exit status of a program that ends with this error.
    """

    exit_code = 1


class UnknownNameError(MagnoliapierError):
    """A name is not in its registry."""

    def __init__(self, kind, name, known):
        self.kind = kind
        self.name = name
        super().__init__(f"Unknown {kind} {name!r}; use one of: {', '.join(known)}.")


class SettingsError(MagnoliapierError):
    """The settings file cannot be read or is invalid."""

    exit_code = 3


class AddressInUseError(MagnoliapierError):
    """A listening address is in use by another process."""

    exit_code = 4


class ManifestError(MagnoliapierError):
    """
    A manifest is invalid.

    ``problems`` is a list of :class:`magnoliapier.manifest.Problem`, one for each fault
    that was found.
    """

    exit_code = 5

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class ManifestConflictError(MagnoliapierError):
    """Another commit was accepted after the version that this commit is based on."""

    exit_code = 6


class ControlBusyError(MagnoliapierError):
    """A part of the control process did not answer in time or is stopping."""


class AuthenticationError(MagnoliapierError):
    """A token or message authentication code is missing, wrong or expired."""

    exit_code = 7


class MessageError(MagnoliapierError):
    """A message from another process cannot be decoded."""


class TraceError(MagnoliapierError):
    """A trace file or outcome file is invalid."""

    exit_code = 8


class OutcomeFailedError(MagnoliapierError):
    """The replay of a trace did not meet one of its stated outcomes."""

    exit_code = 9


class PlatformError(MagnoliapierError):
    """A call to the platform failed."""

    exit_code = 10


class StoreUnavailableError(PlatformError):
    """The call had no effect; repeat it once the store is available again."""


class StoreOutcomeUnknownError(PlatformError):
    """
    The answer to a write was lost, so the write may have taken effect.

    Read the rows back and compare them before repeating the write.
    """


class HistoryLostError(PlatformError):
    """The store no longer has the requested changes; read all rows again."""


class EndpointError(PlatformError):
    """A call to an endpoint failed."""


class EndpointUnreachableError(EndpointError):
    """
    The endpoint did not answer, so it may have carried out an order or may do so later.

    Stop the run that the order was for before starting the task elsewhere.
    """


class EndpointNotReachedError(EndpointUnreachableError):
    """
    No connection to the endpoint could be opened, so it has received nothing.

    The task that an order was for may be started elsewhere at once.
    """


class OrderRefusedError(EndpointError):
    """
    The endpoint refused an order and did nothing.

    ``reason`` is a :class:`magnoliapier.service.orders.OrderRefusal`.
    """

    def __init__(self, reason, detail=""):
        self.reason = reason
        super().__init__(
            f"Choose another endpoint or run; order refused: {reason} {detail}".rstrip()
        )


class LeaseTooShortError(MagnoliapierError):
    """An order was not sent because its sender's lease may end before it completes."""


class HostOrderRefusedError(PlatformError):
    """
    The platform refused an order for a host and did nothing.

    ``reason`` is what the platform said: it has seen a higher fencing token, the host
    is not up, or the host does not belong to the wave.
    """

    def __init__(self, reason):
        self.reason = reason
        super().__init__(f"Read the host list again; the order was refused: {reason}.")


class ConflictError(PlatformError):
    """
    A conditional write found row versions other than it expected.

    ``rows`` maps each conflicting key to its current row, or to None if there is none.
    """

    def __init__(self, rows):
        self.rows = dict(rows)
        keys = ", ".join(sorted(self.rows))
        super().__init__(f"Rows changed since they were read: {keys}. Read them again.")


class FencedError(PlatformError):
    """Another holder has taken over the lease; stop acting as its holder."""


class StateOrderError(MagnoliapierError):
    """A log entry or an operator's change cannot be applied to the current state."""
