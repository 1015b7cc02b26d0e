"""The thin daemons and the command line."""

from fireflyquay.checks import SettingsFault

from ._cli import main
from ._settings import (
    BrokerSettings,
    EntrySettings,
    HttpSettings,
    KindSettings,
    LimitsSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    MembershipSettings,
    NodeSettings,
    PlatformSettings,
    TrailSettings,
    check_settings,
    load_settings,
)

__all__ = [
    "BrokerSettings",
    "EntrySettings",
    "HttpSettings",
    "KindSettings",
    "LimitsSettings",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "MembershipSettings",
    "NodeSettings",
    "PlatformSettings",
    "SettingsFault",
    "TrailSettings",
    "check_settings",
    "load_settings",
    "main",
]
