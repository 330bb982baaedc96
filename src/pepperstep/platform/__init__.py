"""Adapter for the users' platform: its names, message formats and calls.

The modules convert between the platform's messages and the types of pepperstep, and
make no decisions. No other package uses the platform's names.
"""

from pepperstep.platform.calls import (
    ControlHandler,
    DirectoryHandler,
    Operations,
    ReadinessHandler,
)
from pepperstep.platform.cloud import PlatformCloud
from pepperstep.platform.documents import TableDecoder, decode_table
from pepperstep.platform.settings import SETTINGS_VARIABLE, read_platform_settings
from pepperstep.platform.wire import PlatformWire

__all__ = [
    "SETTINGS_VARIABLE",
    "ControlHandler",
    "DirectoryHandler",
    "Operations",
    "PlatformCloud",
    "PlatformWire",
    "ReadinessHandler",
    "TableDecoder",
    "decode_table",
    "read_platform_settings",
]
