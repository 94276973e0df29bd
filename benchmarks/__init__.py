"""Repeatable benchmarks; docs/MEASUREMENTS.md holds their results."""
