"""Data types and scheduling decisions for jobs made of steps and tasks."""
