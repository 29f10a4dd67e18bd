"""Tests of the model that plays days in virtual time."""
