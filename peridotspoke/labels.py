"""Limits the number of values of a metric's label."""

__all__ = ["BoundedLabels"]


class BoundedLabels:
    """Keeps the first values of a label and replaces further ones by ``other``.

    Parameters
    ----------
    most : int, optional
        Number of values that are kept.

    Examples
    --------
    >>> labels = BoundedLabels(most=1)
    >>> [labels.bound(value) for value in ("a", "b", "a")]
    ['a', 'other', 'a']
    """

    def __init__(self, most=250):
        self._most = most
        self._kept = set()

    def bound(self, value):
        """Return `value` if it is among the values that are kept, else ``other``."""
        if value not in self._kept and len(self._kept) >= self._most:
            return "other"
        self._kept.add(value)
        return value
