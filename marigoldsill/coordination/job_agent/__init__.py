"""What an agent does for the runs of jobs on its worker."""
