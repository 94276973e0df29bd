"""Fleet capacity and maintenance manager driven by published declarations."""

__version__ = "0.1.0"
