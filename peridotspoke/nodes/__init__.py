"""The node program: callers' desk, ownership, supervision of pools."""
