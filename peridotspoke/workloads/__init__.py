"""Jobs of steps and tasks: their types, and the decisions about their runs."""
