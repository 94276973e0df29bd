"""Measurements that anyone can run again; see docs/MEASUREMENTS.md."""
