"""The workspaces of a play, and the keys that their callers have now."""

from dataclasses import dataclass, field

__all__ = ["PlayWorkspace", "PlayWorkspaces"]

LIMITS = (  # cpu, memMb; each task has 500 to 4,000 thousandths of a core, 100 MB
    (6000, 0),
    (12000, 800),
    (20000, 0),
    (0, 0),
)
WEIGHTS = (1.0, 2.0, 0.5, 4.0)
USUAL_SHARES = (1, 1, 2, 4)  # of the jobs
LOWERED_SHARES = (0.2, 0.4, 0.7)  # of a limit
LEAST_LIMITS = (1000, 100)  # so that 0, which is no limit, is not reached


@dataclass(slots=True)
class PlayWorkspace:
    """One workspace.

    Parameters
    ----------
    name : str
    weight : float
    limit : tuple of int
        cpu and memMb; 0 for none.
    keys : list of str, optional
        The present keys; callers send the last one.
    present_limit : tuple of int
        Below `limit` for a while.
    """

    name: str
    weight: float
    limit: tuple[int, int]
    keys: list = field(default_factory=list)
    present_limit: tuple[int, int] = (0, 0)

    def __post_init__(self):
        self.present_limit = self.limit

    def describe(self):
        """Return its entry in the configuration."""
        cpu, memory = self.present_limit
        return {
            "name": self.name,
            "apiKeys": list(self.keys),
            "weight": self.weight,
            "maxCount": {"cpu": cpu, "memMb": memory, "gpu": 0},
        }

    def lower(self, share):
        """Lower its limit to a share."""
        self.present_limit = tuple(
            max(least, int(amount * share)) if amount else 0
            for amount, least in zip(self.limit, LEAST_LIMITS, strict=True)
        )


class PlayWorkspaces:
    """All workspaces of a play.

    Parameters
    ----------
    chance : random.Random

    Attributes
    ----------
    items : list of PlayWorkspace
    """

    def __init__(self, chance):
        self.chance = chance
        self.items = [
            PlayWorkspace(f"team-{number}", weight, limit)
            for number, (weight, limit) in enumerate(zip(WEIGHTS, LIMITS, strict=True))
        ]
        for item in self.items:
            item.keys = [self.make_key(), self.make_key()]

    def make_key(self):
        """Return a key that no configuration has held."""
        return f"KEY-{self.chance.getrandbits(96):024x}"

    def draw(self):
        """Return a workspace, as often as it usually sends jobs."""
        return self.chance.choices(self.items, USUAL_SHARES)[0]

    def draw_other(self, name):
        """Return a workspace of another name."""
        return self.chance.choice([item for item in self.items if item.name != name])

    def draw_limited(self):
        """Return a workspace that has a limit."""
        return self.chance.choice([item for item in self.items if any(item.limit)])

    def find_key(self, name):
        """Return the key that the callers of a workspace send now."""
        return next(item.keys[-1] for item in self.items if item.name == name)

    def describe(self):
        """Return the configuration's list of workspaces."""
        return [item.describe() for item in self.items]

    def replace_key(self, item, key):
        """Revoke a key of a workspace and add another, which its callers send."""
        item.keys.remove(key)
        item.keys.append(self.make_key())
