"""Builds the binary: one executable archive of the program and its libraries.

Run as `python -m build_tools.binary dist/marigoldsill`.
"""

import compileall
import hashlib
import pathlib
import py_compile
import shutil
import subprocess
import sys
import tempfile
import zipfile

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_CONSTRAINTS = _ROOT / "constraints.txt"
# -I and -S: nothing from the environment or the machine's own packages.
_SHEBANG = b"#!/usr/bin/env -S python3.11 -IS\n"
_TIME = (1980, 1, 1, 0, 0, 0)
_EXECUTABLE = 0o755


def build(target: pathlib.Path) -> None:
    """Builds the binary at a path."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder) / "site"
        _install(site)
        _compile(site)
        _pack(site, target)
    target.chmod(_EXECUTABLE)


def _install(site: pathlib.Path) -> None:
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "-qq",
            "--no-compile",
            "--constraint",
            str(_CONSTRAINTS),
            "--target",
            str(site),
            str(_ROOT),
        ],
        check=True,
    )
    shutil.rmtree(site / "bin", ignore_errors=True)


def _compile(site: pathlib.Path) -> None:
    compileall.compile_dir(
        site,
        quiet=1,
        stripdir=str(site),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _pack(site: pathlib.Path, target: pathlib.Path) -> None:
    paths = sorted(path for path in site.rglob("*") if path.is_file())
    digest = hashlib.sha256()
    for path in paths:
        digest.update(str(path.relative_to(site)).encode())
        digest.update(path.read_bytes())
    with target.open("wb") as file:
        file.write(_SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            launcher = _ROOT / "build_tools" / "launcher.py"
            _add(archive, "__main__.py", launcher.read_bytes())
            _add(archive, "build-id", digest.hexdigest()[:16].encode())
            for path in paths:
                name = f"site/{path.relative_to(site)}"
                _add(archive, name, path.read_bytes())


def _add(archive: zipfile.ZipFile, name: str, data: bytes) -> None:
    info = zipfile.ZipInfo(name, _TIME)
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, data)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
