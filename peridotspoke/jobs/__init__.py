"""Jobs: accept, queue, place, supervise."""
