"""Validation across the keys of a declaration and across declaration files."""

from dataclasses import dataclass
from math import ceil

from peridotspoke.declarations.schema import (
    BudgetDeclaration,
    DeploymentDeclaration,
    NeedDeclaration,
    ServiceDeclaration,
)

__all__ = ["Fault", "Source", "check_source", "check_together", "fill_defaults"]

MINUTES_PER_DAY = 24 * 60


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation fault of a declaration file.

    Parameters
    ----------
    file : str
        Path of the file, or the declaration's name where there is no file.
    line : int
        Line number, from 1.
    key : str
        Dotted path of the invalid key; ``file`` or ``syntax`` where the file can't
        be read or parsed.
    found : str
        The invalid value.
    expected : str
        What a valid value looks like.
    """

    file: str
    line: int
    key: str
    found: str
    expected: str

    def __str__(self):
        """Return the fault as one line for the operator."""
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.key}: found {self.found}, expected {self.expected}"


@dataclass(frozen=True, slots=True)
class Source:
    """A parsed declaration with its source file and text.

    Parameters
    ----------
    file : str
        Path of the file.
    text : str
        Content of the file, TOML.
    declaration : ServiceDeclaration or DeploymentDeclaration
    """

    file: str
    text: str
    declaration: ServiceDeclaration | DeploymentDeclaration

    def make_fault(self, key, found, expected):
        """Return a `Fault` located at the line of `key`.

        Parameters
        ----------
        key : str
            Dotted path of the key.
        found : object
            The invalid value; shown by ``str``.
        expected : str
            What a valid value looks like.
        """
        line = find_line(self.text, key.split("."))
        return Fault(self.file, line, key, str(found), expected)


def find_line(text, keys):
    r"""Return the number of the line that holds a key of a TOML text.

    Where the text lacks the key, this is the line of its table's header; where it
    lacks the table too, line 1.

    Parameters
    ----------
    text : str
        TOML text.
    keys : list of str
        Path of the key; array indices in it are ignored.

    Examples
    --------
    >>> find_line('service = "lustenau"\n[pool]\nspare = true', ["pool", "spare"])
    3
    """
    keys = [key for key in keys if not key.isdigit()]
    table = ""
    nearest = 1
    wanted_table = ".".join(keys[:-1])
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            table = stripped.split("#")[0].strip().strip("[]").strip()
            if table == wanted_table or table == ".".join(keys):
                nearest = number
        elif table == wanted_table and stripped.split("=")[0].strip() == keys[-1]:
            return number
    return nearest


def fill_defaults(data):
    """Return a service's keys with the defaults that depend on its pool's size.

    An undeclared ``need.instances`` becomes half of ``pool.instances``, rounded up,
    but no more than the default of `NeedDeclaration`.

    Parameters
    ----------
    data : dict
        The service's parsed TOML, not yet validated.

    Returns
    -------
    dict
        `data` itself where the pool's size or the need has the wrong type; the
        validation that follows reports that.
    """
    instances = data.get("pool", {}).get("instances")
    need = data.get("need", {})
    if not isinstance(instances, int) or not isinstance(need, dict):
        return data
    default = min(NeedDeclaration().instances, max(1, ceil(instances / 2)))
    return {**data, "need": {"instances": default, **need}}


def check_source(source):
    """Return the faults in a declaration whose keys contradict each other."""
    if not isinstance(source.declaration, ServiceDeclaration):
        return []
    checks = (_check_sizes, _check_windows, _check_requests, _check_jobs)
    return [fault for check in checks for fault in check(source)]


def check_together(sources):
    """Return the faults of declarations that contradict each other."""
    services = [
        item for item in sources if isinstance(item.declaration, ServiceDeclaration)
    ]
    deployments = [item for item in sources if item not in services]
    faults = [
        item.make_fault(
            "deployment", item.file, "a single file that declares the deployment"
        )
        for item in deployments[1:]
    ]
    if not any(item.declaration.pool.spare for item in services):
        faults += [
            item.make_fault(
                "requests.overflow",
                "true, but there is no spare pool",
                "a service with pool.spare = true, or overflow = false",
            )
            for item in services
            if item.declaration.requests.overflow
        ]
    return faults


def _check_sizes(source):
    service = source.declaration
    size = service.pool.instances
    if service.need.instances > size:
        yield source.make_fault(
            "need.instances",
            service.need.instances,
            f"at most pool.instances ({size})",
        )
    declared = service.budget != BudgetDeclaration()
    if declared and service.budget.max_unavailable >= size:
        yield source.make_fault(
            "budget.max_unavailable",
            service.budget.max_unavailable,
            f"less than pool.instances ({size}), so that at least one instance stays "
            "available",
        )


def _check_windows(source):
    service = source.declaration
    maintenance = service.maintenance
    maintenances_per_day = 0
    if not maintenance.windows:
        yield source.make_fault("maintenance.windows", "none", "at least one window")
    for window in maintenance.windows:
        length = measure_window(window)
        if length < maintenance.duration_minutes:
            yield source.make_fault(
                "maintenance.windows",
                f"{window}, {length} minutes",
                f"at least duration_minutes ({maintenance.duration_minutes})",
            )
        maintenances_per_day += length // maintenance.duration_minutes
    capacity = (
        maintenances_per_day * maintenance.period_days * service.budget.max_unavailable
    )
    if 0 < capacity < service.pool.instances:
        yield source.make_fault(
            "maintenance.windows",
            f"windows that fit {capacity} instances in {maintenance.period_days} days",
            f"windows that fit all {service.pool.instances} instances of the pool",
        )


def measure_window(window):
    """Return the length of a maintenance window, minutes.

    A window whose end is before its beginning passes midnight.

    Parameters
    ----------
    window : str
        Two times of day such as ``20:00-04:00``.

    Examples
    --------
    >>> measure_window("20:00-04:00")
    480
    """
    begin, end = (
        int(text[:2]) * 60 + int(text[3:]) for text in window.split("-", maxsplit=1)
    )
    return (end - begin) % MINUTES_PER_DAY


def _check_requests(source):
    service = source.declaration
    requests = service.requests
    if requests.overflow and service.pool.spare:
        yield source.make_fault(
            "requests.overflow", "true", "false, because this pool is the spare"
        )
    if requests.key_lifetime < requests.time_limit:
        yield source.make_fault(
            "requests.key_lifetime",
            requests.key_lifetime,
            f"at least requests.time_limit ({requests.time_limit:g})",
        )
    for path in requests.idempotent_paths:
        if not path.startswith("/"):
            yield source.make_fault(
                "requests.idempotent_paths",
                repr(path),
                "a path prefix that begins with '/', such as '/quote'",
            )


def _check_jobs(source):
    jobs = source.declaration.jobs
    if jobs.default_class not in jobs.classes:
        yield source.make_fault(
            "jobs.default_class",
            repr(jobs.default_class),
            f"one of jobs.classes: {', '.join(jobs.classes)}",
        )
