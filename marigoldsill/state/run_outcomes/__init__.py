"""What the ends of runs make of their tasks and jobs."""
