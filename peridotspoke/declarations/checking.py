"""Checks that go beyond the form of one key: across keys and across files."""

from dataclasses import dataclass
from math import ceil

from peridotspoke.declarations.schema import (
    BudgetDeclaration,
    DeploymentDeclaration,
    NeedDeclaration,
    ServiceDeclaration,
)

__all__ = ["Fault", "Source", "check_source", "check_together", "fill_defaults"]

DAY = 24 * 60  # minutes


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file: where it is, what was found, what was expected."""

    file: str
    line: int
    key: str
    found: str
    expected: str

    def __str__(self):
        """Return the fault as one line."""
        place = f"{self.file}:{self.line}"
        return f"{place}: {self.key}: found {self.found}, expected {self.expected}"


@dataclass(frozen=True, slots=True)
class Source:
    """A declaration with the file and the text that it was read from."""

    file: str
    text: str
    declaration: ServiceDeclaration | DeploymentDeclaration

    def make_fault(self, key, found, expected):
        """Return a `Fault` at the line of `key`, a dotted path."""
        line = find_line(self.text, key.split("."))
        return Fault(self.file, line, key, str(found), expected)


def find_line(text, keys):
    r"""Return the line of the last key of the path that the text names.

    Examples
    --------
    >>> find_line('service = "lustenau"\n[pool]\nspare = true', ["pool", "spare"])
    3
    """
    keys = [key for key in keys if not key.isdigit()]
    section = ""
    best = 1
    wanted_section = ".".join(keys[:-1])
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("["):
            section = stripped.split("#")[0].strip().strip("[]").strip()
            if section == wanted_section or section == ".".join(keys):
                best = number
        elif section == wanted_section and stripped.split("=")[0].strip() == keys[-1]:
            return number
    return best


def fill_defaults(data):
    """Return a service's parsed keys with the defaults that follow from its pool.

    The need is half of the pool, rounded up, where it isn't declared.
    """
    instances = data.get("pool", {}).get("instances")
    need = data.get("need", {})
    if not isinstance(instances, int) or not isinstance(need, dict):
        return data
    default = min(NeedDeclaration().instances, max(1, ceil(instances / 2)))
    return {**data, "need": {"instances": default, **need}}


def check_source(source):
    """Return the faults of one declaration's keys against each other."""
    if not isinstance(source.declaration, ServiceDeclaration):
        return []
    checks = (_check_sizes, _check_windows, _check_requests, _check_jobs)
    return [fault for check in checks for fault in check(source)]


def check_together(sources):
    """Return the faults of declarations against each other."""
    services = [
        item for item in sources if isinstance(item.declaration, ServiceDeclaration)
    ]
    deployments = [item for item in sources if item not in services]
    faults = [
        item.make_fault("deployment", item.file, "one file with this key")
        for item in deployments[1:]
    ]
    if not any(item.declaration.pool.spare for item in services):
        faults += [
            item.make_fault(
                "requests.overflow",
                "true and no spare pool",
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
            f"at most pool.instances, which is {size}",
        )
    given = service.budget != BudgetDeclaration()
    if given and service.budget.max_unavailable >= size:
        yield source.make_fault(
            "budget.max_unavailable",
            service.budget.max_unavailable,
            f"less than pool.instances, which is {size}, so that one is left",
        )


def _check_windows(source):
    service = source.declaration
    maintenance = service.maintenance
    rounds = 0
    if not maintenance.windows:
        yield source.make_fault("maintenance.windows", "none", "at least one window")
    for window in maintenance.windows:
        length = measure_window(window)
        if length < maintenance.duration_minutes:
            yield source.make_fault(
                "maintenance.windows",
                f"{window}, {length} minutes",
                f"at least duration_minutes, which is {maintenance.duration_minutes}",
            )
        rounds += length // maintenance.duration_minutes
    most = rounds * maintenance.period_days * service.budget.max_unavailable
    if 0 < most < service.pool.instances:
        yield source.make_fault(
            "maintenance.windows",
            f"time for {most} instances in {maintenance.period_days} days",
            f"time for all {service.pool.instances} instances of the pool",
        )


def measure_window(window):
    """Return the length of a window in minutes; it may pass midnight.

    Examples
    --------
    >>> measure_window("20:00-04:00")
    480
    """
    begin, end = (
        int(text[:2]) * 60 + int(text[3:]) for text in window.split("-", maxsplit=1)
    )
    return (end - begin) % DAY


def _check_requests(source):
    service = source.declaration
    requests = service.requests
    if requests.overflow and service.pool.spare:
        yield source.make_fault(
            "requests.overflow", "true", "false, since this pool is the spare"
        )
    if requests.key_lifetime < requests.time_limit:
        yield source.make_fault(
            "requests.key_lifetime",
            requests.key_lifetime,
            f"at least requests.time_limit, which is {requests.time_limit:g}",
        )
    for path in requests.idempotent_paths:
        if not path.startswith("/"):
            yield source.make_fault(
                "requests.idempotent_paths", repr(path), "a path such as '/quote'"
            )


def _check_jobs(source):
    jobs = source.declaration.jobs
    if jobs.default_class not in jobs.classes:
        yield source.make_fault(
            "jobs.default_class",
            repr(jobs.default_class),
            f"one of jobs.classes: {', '.join(jobs.classes)}",
        )
