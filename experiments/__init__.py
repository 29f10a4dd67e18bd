"""Days of jobs in virtual time, decided by the product's own modules."""
