"""The entry point of `python -m marigoldsill`."""

import sys

_INTERRUPTED_EXIT_CODE = 130


def _main() -> None:
    try:
        from marigoldsill import cli

        cli.main(prog_name="marigoldsill")
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED_EXIT_CODE)


if __name__ == "__main__":
    _main()
