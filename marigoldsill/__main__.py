"""Runs the command line as `python -m marigoldsill`."""

from marigoldsill import cli

if __name__ == "__main__":
    cli.main()
