"""Fleet capacity and maintenance manager, configured by published declarations."""

__version__ = "0.1.0"
