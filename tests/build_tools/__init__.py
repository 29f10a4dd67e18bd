"""Tests of build_tools."""
