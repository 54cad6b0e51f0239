"""Reads the settings file that the platform gives each process."""

import os
import resource
from pathlib import Path

import msgspec

from magnoliapier.exceptions import MessageError, SettingsError
from magnoliapier.platform.addresses import check_address
from magnoliapier.platform.wire import decode

SETTINGS_VARIABLE = "MAGNOLIAPIER_BOOT"
DEFAULT_MEMORY_MB = 200  # the memory of the smallest hosts
LOW_CAPACITY_CORES = 0.9
LOW_CAPACITY_LINK_MBPS = 50.0


class Listen(msgspec.Struct):
    """Addresses that the process listens on, as ``host:port``."""

    front: str  # for callers
    ready_address: str  # for readiness probes


class Bounds(msgspec.Struct, frozen=True):
    """Values from the platform's rules that decisions depend on."""

    hold_max_ms: int = 6000  # longest lease of an endpoint
    status_s: float = 120  # how long a submission's final state is kept
    lease_ms: int = 3000  # minimum time between two holders' orders for one host


class StoreSettings(msgspec.Struct):
    """Where the platform serves its table."""

    address: str


class MachinesSettings(msgspec.Struct):
    """Where the platform serves its interface for machines, the product's hosts."""

    address: str
    duty_per_s: float = 64.0  # orders that it accepts in a second


class Limits(msgspec.Struct, frozen=True):
    """Resources that the process gets from its machine."""

    cpu_share: float = 1.0  # share of one core
    cores: float = 1.0  # speed of that core, as a multiple of a standard core
    link_mbps: float = 1000.0
    memory_mb: float | None = None
    max_fds: float | None = None

    @property
    def descriptors(self):
        """
        Return how many descriptors the process may have open.

        That is the kernel's limit for the process where the settings name none.
        """
        return self.max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]

    @property
    def memory(self):
        """Return the memory that the process may use, in MB."""
        return self.memory_mb or DEFAULT_MEMORY_MB

    @property
    def low_capacity(self):
        """Return whether the machine lacks the CPU or bandwidth to run a shard well."""
        available_cores = self.cpu_share * self.cores
        return (
            available_cores < LOW_CAPACITY_CORES
            or self.link_mbps < LOW_CAPACITY_LINK_MBPS
        )


class BootSettings(msgspec.Struct):
    """The fields of the settings file that the product uses; others are ignored."""

    node_name: str
    ip: str  # where other hosts reach the process
    listen: Listen
    # The range of ports for connections between hosts. Only the first one is used.
    internal_ports: tuple[int, int]
    platform: StoreSettings
    cloud_api: MachinesSettings
    bounds: Bounds = Bounds()
    limits: Limits = Limits()

    @property
    def peer_address(self):
        """Return the address where the process answers other hosts."""
        return f"{self.ip}:{self.internal_ports[0]}"

    def check(self):
        """Raise MessageError if an address cannot be used."""
        for address in (
            self.listen.front,
            self.listen.ready_address,
            self.platform.address,
            self.cloud_api.address,
            self.peer_address,
        ):
            check_address(address)


def changed_settings(before, after):
    """Return the names of the settings that differ, in the order of their fields."""
    return [
        name
        for name in BootSettings.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    ]


def load_boot_settings(path=None):
    """
    Read the settings file at ``path``, by default the one named by SETTINGS_VARIABLE.

    Raises SettingsError if no path is given or the file is unreadable or invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"Set {SETTINGS_VARIABLE} to the path of the settings file."
        )
    try:
        settings = decode(BootSettings, Path(path).read_bytes())
        settings.check()
        return settings
    except OSError as error:
        raise SettingsError(f"Make {path} readable: {error}") from error
    except MessageError as error:
        raise SettingsError(f"Correct {path}: {error}") from error
