"""What the leader of control does for queues, their jobs and their agents."""
