"""The settings file that the platform gives each process."""

import os
from pathlib import Path

import msgspec

from magnoliapier.exceptions import MessageError, SettingsError
from magnoliapier.platform.wire import decode

SETTINGS_VARIABLE = "MAGNOLIAPIER_BOOT"
WEAK_PROCESSOR = 0.9  # cores
WEAK_LINK_MBPS = 50.0


class Listen(msgspec.Struct):
    """Addresses that the process listens on."""

    front: str
    ready_address: str


class Bounds(msgspec.Struct, frozen=True):
    """Figures of the platform's rules that decisions depend on."""

    hold_max_ms: int = 6000  # longest lease of an endpoint
    status_s: float = 120  # how long a final state is kept
    lease_ms: int = 3000  # least time between two holders' orders for one host


class StoreSettings(msgspec.Struct):
    """The platform's table."""

    address: str


class MachinesSettings(msgspec.Struct):
    """The platform's interface for machines."""

    address: str


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives the process."""

    cpu_share: float = 1.0  # of a core that is ``cores`` times as fast
    cores: float = 1.0
    link_mbps: float = 1000.0

    @property
    def low_capacity(self):
        """Return whether the machine is too small to run a shard comfortably."""
        processor = self.cpu_share * self.cores
        return processor < WEAK_PROCESSOR or self.link_mbps < WEAK_LINK_MBPS


class BootSettings(msgspec.Struct):
    """The fields of the settings file that the product uses; others are ignored."""

    node_name: str
    ip: str
    listen: Listen
    internal_ports: tuple[int, int]
    platform: StoreSettings
    cloud_api: MachinesSettings
    bounds: Bounds = Bounds()
    limits: Limits = Limits()


def load_boot_settings(path=None):
    """
    Read the settings file at ``path``, or where the environment says.

    Raises SettingsError with the remedy if there is none or it is invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"Set {SETTINGS_VARIABLE} to the path of the settings file."
        )
    try:
        return decode(BootSettings, Path(path).read_bytes())
    except OSError as error:
        raise SettingsError(f"Make {path} readable: {error}") from error
    except MessageError as error:
        raise SettingsError(f"Correct {path}: {error}") from error
