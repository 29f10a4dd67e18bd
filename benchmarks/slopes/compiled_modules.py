"""Runs processes from compiled modules, as the shipped binary does.

Compiling a module on import increases the memory of a process, which the binary
never does, so the measured processes must find their modules compiled.
"""

from collections.abc import Iterator
import contextlib
import os
import subprocess
import sys
import tempfile

_PACKAGES = ("marigoldsill", "standins")
_ENVIRONMENT_VARIABLES = ("PYTHONPYCACHEPREFIX", "PYTHONDONTWRITEBYTECODE")


@contextlib.contextmanager
def compiled_packages() -> Iterator[None]:
    """Compiles the packages for all processes started within the context."""
    originals = {name: os.environ.get(name) for name in _ENVIRONMENT_VARIABLES}
    with tempfile.TemporaryDirectory() as folder:
        os.environ.update(
            zip(_ENVIRONMENT_VARIABLES, (folder, ""), strict=True)
        )
        try:
            subprocess.run(
                [sys.executable, "-m", "compileall", "-q", *_PACKAGES],
                check=True,
            )
            yield
        finally:
            for name, value in originals.items():
                os.environ.pop(name, None)
                if value is not None:
                    os.environ[name] = value
