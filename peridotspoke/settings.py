"""Settings read from flags and environment variables, and validated."""

from dataclasses import dataclass

from pydantic import Field, ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from peridotspoke.exceptions import SettingsError

__all__ = [
    "ProgramSettings",
    "SettingReference",
    "describe_settings",
    "list_settings",
    "read_settings",
]


class ProgramSettings(BaseSettings):
    """Settings common to all programs.

    Each field can be given as a flag or as an environment variable with the prefix
    ``PERIDOTSPOKE_``; the flag takes precedence.
    """

    model_config = SettingsConfigDict(
        env_prefix="PERIDOTSPOKE_",
        frozen=True,
        extra="forbid",
        allow_inf_nan=False,
    )

    platform: str = Field(
        "http://127.0.0.1:2379",
        pattern=r"^https?://\S+$",
        description="URL of the platform's key-value service and instance list",
    )
    platform_timeout: float = Field(
        1.0, gt=0, description="limit of one call to the platform, seconds"
    )
    platform_write_rate: float = Field(
        30.0, gt=0, description="this process's share of the writes, calls a second"
    )
    platform_read_rate: float = Field(
        120.0, gt=0, description="this process's share of the reads, calls a second"
    )
    platform_wait_limit: float = Field(
        2.0, gt=0, description="longest wait for a call's turn in the share, seconds"
    )
    log_level: str = Field(
        "INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="lowest level that is logged",
    )


def read_settings(settings_class, flags):
    """Return the validated settings from `flags` and the environment.

    Parameters
    ----------
    settings_class : type
        A subclass of `ProgramSettings`.
    flags : dict
        Values of the command line's flags by field name; None for an absent flag.

    Returns
    -------
    ProgramSettings
        An instance of `settings_class`.

    Raises
    ------
    SettingsError
        If any setting is invalid; the message lists all invalid ones.
    """
    given = {name: value for name, value in flags.items() if value is not None}
    try:
        return settings_class(**given)
    except ValidationError as error:
        faults = [_describe_fault(settings_class, fault) for fault in error.errors()]
        raise SettingsError("; ".join(faults), step="read settings") from error


def _describe_fault(settings_class, fault):
    if not fault["loc"]:
        return fault["msg"].removeprefix("Value error, ")
    name = str(fault["loc"][0])
    flag = "--" + name.replace("_", "-")
    field = settings_class.model_fields.get(name)
    if field is None:
        return f"{flag}: no such flag"
    place = f"{flag} / {_name_variable(name)}"
    if fault["type"] == "missing":
        return f"{place}: found nothing; expected {field.description}"
    found = fault.get("input")
    return f"{place}: {fault['msg']}, found {found!r}; expected {field.description}"


def _name_variable(name):
    return "PERIDOTSPOKE_" + name.upper()


@dataclass(frozen=True, slots=True)
class SettingReference:
    """Documentation of one setting.

    Parameters
    ----------
    flag : str
    variable : str
        Name of the environment variable.
    default : str
        ``repr`` of the default; ``required`` if there is none.
    meaning : str
        Description with the unit.
    """

    flag: str
    variable: str
    default: str
    meaning: str


def list_settings(settings_class):
    """Return the list of `SettingReference` of the fields of `settings_class`."""
    return [
        SettingReference(
            flag="--" + name.replace("_", "-"),
            variable=_name_variable(name),
            default="required" if field.is_required() else repr(field.default),
            meaning=field.description or "",
        )
        for name, field in settings_class.model_fields.items()
    ]


def describe_settings(settings_class):
    """Return a text with one line per setting: flag, variable, default, meaning."""
    return "\n".join(
        f"{item.flag} ({item.variable}, default {item.default}): {item.meaning}"
        for item in list_settings(settings_class)
    )
