"""The roles of processes; each module only wires the layers together."""
