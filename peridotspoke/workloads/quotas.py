"""Quotas: what may be running of each workspace in a pool, and what may start.

It answers a pool that looks for places every few milliseconds: what may be running is
counted once in a round, and only workspaces with work in the pool are looked at.
"""

from dataclasses import dataclass

from peridotspoke.workloads.jobs import Need
from peridotspoke.workloads.progress import TaskStatus
from peridotspoke.workloads.quotarecords import (
    NOTHING,
    QuotaRules,
    covers,
    mask_need,
    multiply_need,
)
from peridotspoke.workloads.workspacequota import WorkspaceQuota

__all__ = ["QuotaBook", "UseCounter", "compute_quota_need"]

COPIES_OF_EARLIER_OWNERS = 2  # runs of a task that may go on beside its latest one


def compute_quota_need(step):
    """Return what a task of a step counts for its workspace's quota.

    It is the step's full need. A task of a step that only fills idle processor time
    counts with its processors as well, because it may use them.
    """
    return step.need


class QuotaBook:
    """The quotas of the workspaces with a limit, as the owner of one pool knows them.

    Parameters
    ----------
    pool : str
    fence : int
        Revision of the owner's claim.
    find_known : callable
        Takes a workspace's name. Returns the revision of the store as of which its
        record is known, the record's revision and its rows, as for
        `WorkspaceQuota.observe`.
    rules : QuotaRules, optional

    Attributes
    ----------
    quotas : dict of str to WorkspaceQuota
        By workspace, those with work or a grant in the pool.
    """

    quota_class = WorkspaceQuota

    def __init__(self, pool, fence, find_known, rules=QuotaRules()):
        self.quotas = {}
        self._pool, self._fence = pool, fence
        self._find_known, self._rules = find_known, rules
        self._limits, self._settled = {}, {}
        self._now = self._wall = 0.0

    @property
    def limits(self):
        """The limit of each workspace that has one, as a dict of str to Need."""
        return self._limits

    def set_limits(self, limits, now, known=frozenset()):
        """Go by these limits from now on.

        Parameters
        ----------
        limits : dict of str to Need
            By workspace, those with a limit.
        now : float
            Monotonic seconds.
        known : collection of str, optional
            Workspaces that were configured before. The tasks of one that had no limit
            until now may run without grants.
        """
        for name in limits:
            if name in known and name not in self._limits:
                self._settled[name] = now + self._rules.settling
        self._limits = dict(limits)
        for name, quota in list(self.quotas.items()):
            if name not in limits:
                del self.quotas[name]
            else:
                quota.set_limit(limits[name], now)

    def note_lost_record(self, workspace, now):
        """Record that a workspace's record was deleted, so that grants are unknown."""
        settled_at = self._settled.get(workspace, float("-inf"))
        self._settled[workspace] = max(settled_at, now + self._rules.settling)

    def note_grant(self, workspace):
        """Follow the quota of a workspace that has a row for the pool in the store."""
        if workspace in self._limits:
            self._open(workspace)

    def begin_round(self, uses, now, wall):
        """Begin a round with what may be running of each workspace.

        Parameters
        ----------
        uses : dict of str to Need
        now : float
            Monotonic seconds.
        wall : float
            Seconds since the Unix epoch.
        """
        self._now, self._wall = now, wall
        for name, quota in list(self.quotas.items()):
            if name not in uses and quota.is_idle(self._find_known(name)[0]):
                del self.quotas[name]
        for name in uses:
            self.note_grant(name)
        for name, quota in self.quotas.items():
            quota.observe(*self._find_known(name), now)
            quota.begin_round(uses.get(name, NOTHING), now, wall)

    def has_room(self, workspace, need):
        """Return whether a workspace's task may start.

        Parameters
        ----------
        workspace : str
            Empty for a job without one, which is never held back.
        need : Need
            By `compute_quota_need`; of a gang, that of all its tasks together.
        """
        if workspace not in self._limits:
            return True
        return self._open(workspace).has_room(need, self._now)

    def lacks_room(self, needs):
        """Return whether any workspace needs more than is unused of its grant.

        Parameters
        ----------
        needs : dict of str to Need
            By workspace.
        """
        return any(
            not covers(self.find_unused(name), mask_need(needs[name], limit))
            for name, limit in self._limits.items()
            if name in needs
        )

    def find_unused(self, workspace):
        """Return how much of a limited workspace's grant nothing uses."""
        quota = self.quotas.get(workspace)
        return NOTHING if quota is None else quota.find_unused(self._now)

    def reserve(self, workspace, need):
        """Count a task that is going to start, or all tasks of a gang."""
        if workspace in self._limits:
            self._open(workspace).reserve(need)

    def is_held_back(self, workspace, need):
        """Return whether a task waits because one of its workspace was held back.

        Parameters
        ----------
        workspace : str
        need : Need
            As for `has_room`.
        """
        quota = self.quotas.get(workspace)
        return quota is not None and quota.is_behind(need)

    def hold_back(self, workspace, need, count, task):
        """Record that tasks can't start, though executors have room for them.

        Parameters
        ----------
        workspace : str
        need : Need
            As for `has_room`.
        count : int
            How many times as much executors could take.
        task : TaskKey
            The first of the tasks.
        """
        self._open(workspace).hold_back(need, count, task)

    def list_writes(self):
        """Yield the workspace, its quota and the row for each write that is due."""
        for name, quota in self.quotas.items():
            row = quota.plan_row(self._now)
            if row is not None:
                yield name, quota, row

    def _open(self, workspace):
        quota = self.quotas.get(workspace)
        if quota is None:
            quota = self.quota_class(
                self._pool, self._limits[workspace], self._fence, self._rules
            )
            quota.settled_at = self._settled.get(workspace, float("-inf"))
            quota.observe(*self._find_known(workspace), self._now)
            quota.begin_round(NOTHING, self._now, self._wall)
            self.quotas[workspace] = quota
        return quota


@dataclass(slots=True)
class _StrayRun:
    """A run that isn't in the ledger and may go on.

    Parameters
    ----------
    workspace : str
    need : Need
    seen_at : float
        When it was given up or last listed by its executor, monotonic seconds.
    run : Run or None
        None if the ledger never had it.
    ordered_until : float
        Until when its start may be carried out, monotonic seconds.
    """

    workspace: str
    need: Need
    seen_at: float
    run: object = None
    ordered_until: float = float("-inf")


class UseCounter:
    """Counts what may be running of each workspace in a pool.

    Beside the ledger's runs these are runs that executors list and the ledger doesn't
    have, which may take some time to stop and are not listed meanwhile, and runs that
    were given up in favour of a copy.

    Parameters
    ----------
    find_job : callable, optional
        Returns the `Job` of a job's identity, or None; for jobs that the ledger has
        dropped.
    """

    def __init__(self, find_job=lambda job_id: None):
        self._find_job = find_job
        self._strays = {}
        self._has_inherited = False
        self._inherited_copies = {}

    def count(self, ledger, workspaces, now):
        """Return what may be running, as a dict of str to Need.

        Parameters
        ----------
        ledger : PoolLedger
        workspaces : collection of str
            Those that count.
        now : float
            Monotonic seconds.
        """
        totals = {}
        for state in ledger.executors.values():
            for run in state.runs.values():
                workspace = run.progress.job.workspace
                if workspace in workspaces:
                    _add(totals, workspace, compute_quota_need(run.step))
            if state.foreign:
                self._note_foreign(ledger, state, workspaces, now)
        self._note_given_up(ledger, workspaces)
        self._count_strays(ledger, totals, now)
        self._count_inherited_copies(ledger, workspaces, totals, now)
        return {name: Need(*parts) for name, parts in totals.items()}

    def _note_foreign(self, ledger, state, workspaces, now):
        for key, number in state.foreign:
            stray = self._strays.get((state.executor_id, key, number))
            if stray is not None:
                stray.seen_at = now
                continue
            progress = ledger.jobs.get(key.job_id)
            job = progress.job if progress is not None else self._find_job(key.job_id)
            if job is None or job.workspace not in workspaces:
                continue
            if 0 <= key.step < len(job.steps):
                self._strays[state.executor_id, key, number] = _StrayRun(
                    job.workspace, compute_quota_need(job.steps[key.step]), now
                )

    def _note_given_up(self, ledger, workspaces):
        while ledger.given_up_runs:
            run, since, ordered_until = ledger.given_up_runs.pop()
            workspace = run.progress.job.workspace
            if workspace in workspaces:
                self._strays[run.executor_id, run.key, run.number] = _StrayRun(
                    workspace, compute_quota_need(run.step), since, run, ordered_until
                )

    def _count_strays(self, ledger, totals, now):
        for place, stray in list(self._strays.items()):
            if self._is_over(ledger, place, stray, now):
                del self._strays[place]
            else:
                _add(totals, stray.workspace, stray.need)

    def _is_over(self, ledger, place, stray, now):
        """Return whether a stray run has certainly ended.

        Either a report proves it, which was requested after the time that the executor
        takes to stop a run, or its lease has ended.
        """
        executor_id, key, number = place
        state = ledger.executors.get(executor_id)
        state = state or ledger.left_executors.get(executor_id)
        if state is None:
            return True
        if (key, number) in state.foreign:
            return False
        proved_at = stray.seen_at + ledger.rules.stop_limit
        if state.reported_at is not None and state.reported_at > proved_at:
            return now > stray.ordered_until
        return ledger.has_lapsed(state, stray.run, now)

    def _count_inherited_copies(self, ledger, workspaces, totals, now):
        """Count runs that earlier owners may have given up in favour of a copy.

        Nothing stored tells where they run, so that each earlier run of such a task
        counts until the leases of earlier owners have ended.
        """
        if not self._has_inherited:
            self._has_inherited = True
            for progress in ledger.jobs.values():
                if progress.job.workspace in workspaces:
                    self._inherit_copies(progress)
        if not self._inherited_copies:
            return
        if now > ledger.find_former_end():
            self._inherited_copies = {}
        for workspace, need in self._inherited_copies.values():
            if workspace in workspaces:
                _add(totals, workspace, need)

    def _inherit_copies(self, progress):
        for task in progress.list_tasks():
            step = progress.job.steps[task.key.step]
            if not step.speculative:
                continue
            earlier = task.run - (task.status is not TaskStatus.WAITING)
            earlier -= sum(place[1] == task.key for place in self._strays)
            count = min(max(earlier, 0), COPIES_OF_EARLIER_OWNERS)
            if count:
                need = multiply_need(compute_quota_need(step), count)
                self._inherited_copies[task.key] = (progress.job.workspace, need)


def _add(totals, workspace, need):
    parts = totals.get(workspace)
    if parts is None:
        parts = totals[workspace] = [0, 0, 0]
    parts[0] += need.cpu
    parts[1] += need.memory
    parts[2] += need.accelerators
