"""Builds the binary, an executable archive of the program and its libraries.

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
# -I and -S ignore PYTHON* variables, user packages and site-packages.
_SHEBANG = b"#!/usr/bin/env -S python3.11 -IS\n"
# A fixed time, so that equal contents give equal entries.
_ENTRY_TIME = (1980, 1, 1, 0, 0, 0)
_EXECUTABLE_MODE = 0o755


def build(target: pathlib.Path) -> None:
    """Builds the binary and writes it to `target`."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder) / "site"
        _install_packages(site)
        _compile_modules(site)
        _write_archive(site, target)
    target.chmod(_EXECUTABLE_MODE)


def _install_packages(site: pathlib.Path) -> None:
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


def _compile_modules(site: pathlib.Path) -> None:
    compileall.compile_dir(
        site,
        quiet=1,
        stripdir=str(site),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _write_archive(site: pathlib.Path, target: pathlib.Path) -> None:
    paths = sorted(path for path in site.rglob("*") if path.is_file())
    digest = hashlib.sha256()
    for path in paths:
        digest.update(str(path.relative_to(site)).encode())
        digest.update(path.read_bytes())
    with target.open("wb") as file:
        file.write(_SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            launcher = _ROOT / "build_tools" / "launcher.py"
            _add_entry(archive, "__main__.py", launcher.read_bytes())
            _add_entry(archive, "build-id", digest.hexdigest()[:16].encode())
            for path in paths:
                name = f"site/{path.relative_to(site)}"
                _add_entry(archive, name, path.read_bytes())


def _add_entry(archive: zipfile.ZipFile, name: str, data: bytes) -> None:
    info = zipfile.ZipInfo(name, _ENTRY_TIME)
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, data)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
