"""The exception tree. Each message names what to do about the error."""


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
    """A listening address is taken by another process."""

    exit_code = 4


class ManifestError(MagnoliapierError):
    """
    A manifest is invalid.

    ``problems`` is a list of :class:`Problem`, one for each fault found.
    """

    exit_code = 5

    def __init__(self, problems):
        self.problems = list(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class ManifestConflictError(MagnoliapierError):
    """Another commit was accepted after the version that this one builds on."""

    exit_code = 6


class ControlBusyError(MagnoliapierError):
    """A part of the control process did not answer in time or is stopping."""


class AuthenticationError(MagnoliapierError):
    """A token or message authentication code is missing, wrong or expired."""

    exit_code = 7


class MessageError(MagnoliapierError):
    """A message from another process cannot be decoded."""


class TraceError(MagnoliapierError):
    """A trace or outcome file is invalid."""

    exit_code = 8


class OutcomeFailedError(MagnoliapierError):
    """A replayed trace breaks one of its stated outcomes."""

    exit_code = 9


class PlatformError(MagnoliapierError):
    """A call to the platform failed."""

    exit_code = 10


class StoreUnavailableError(PlatformError):
    """The call did not take effect; it may be repeated when the store is back."""


class StoreOutcomeUnknownError(PlatformError):
    """
    The answer to a write was lost, so the write may have taken effect.

    Read the rows back and compare before repeating it.
    """


class HistoryLostError(PlatformError):
    """The store no longer has the changes asked for; read the rows anew."""


class EndpointError(PlatformError):
    """A call to an endpoint failed."""


class EndpointUnreachableError(EndpointError):
    """
    The endpoint gave no answer, so an order may have been or may yet be carried out.

    Stop the run it was for before starting the task elsewhere.
    """


class OrderRefusedError(EndpointError):
    """
    The endpoint refused an order and did nothing.

    ``reason`` is a :class:`magnoliapier.service.orders.OrderRefusal`.
    """

    def __init__(self, reason, detail=""):
        self.reason = reason
        super().__init__(f"Choose another endpoint or run: {reason} {detail}".rstrip())


class LeaseTooShortError(MagnoliapierError):
    """An order was not sent because its holder's lease ends too soon."""


class HostOrderRefusedError(PlatformError):
    """
    The platform refused an order for a host and did nothing.

    ``reason`` is the platform's: a higher token was seen, the host is not up, or the
    host does not belong to the wave.
    """

    def __init__(self, reason):
        self.reason = reason
        super().__init__(f"Read the host list again: refused for {reason}.")


class ConflictError(PlatformError):
    """
    A conditional write found other versions than it expected.

    ``rows`` maps each conflicting key to its current row, or to None.
    """

    def __init__(self, rows):
        self.rows = dict(rows)
        keys = ", ".join(sorted(self.rows))
        super().__init__(f"Rows changed since they were read: {keys}. Read them again.")


class FencedError(PlatformError):
    """The lease was taken over by another holder; stop acting on it."""


class StateOrderError(MagnoliapierError):
    """A log entry does not follow the state that it was applied to."""
