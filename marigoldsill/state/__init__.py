"""The replicated log, snapshots and the tables to which commands are applied."""
