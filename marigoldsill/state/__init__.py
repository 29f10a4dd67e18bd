"""The durable log, snapshots and the tables that commands build."""
