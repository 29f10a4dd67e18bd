"""What each process is: the wiring of the layers, nothing else."""
