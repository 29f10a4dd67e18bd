"""The entry point of the binary: unpacks the archive and runs the program.

Compiled libraries can't be loaded from inside an archive, so the archive is
unpacked once into a folder named after its contents. Several processes may
unpack at the same time: each unpacks into a temporary folder of its own, and
the first rename takes effect. The program runs in the same process.
"""

import os
import pathlib
import runpy
import shutil
import sys
import tempfile
import zipfile

UNPACK_FOLDER_VARIABLE = "MARIGOLDSILL_UNPACK_FOLDER"
DATA_FOLDER_VARIABLE = "MARIGOLDSILL_DATA_FOLDER"
_DATA_FLAG = "--data-folder"
_BUILD_ID_ENTRY = "build-id"
_SITE_PREFIX = "site/"
_USAGE_ERROR_STATUS = 2


def choose_unpack_folder(
    arguments: list[str], environment: dict[str, str]
) -> pathlib.Path:
    """Returns the folder to unpack into.

    This is, in order of precedence, the folder of the environment variable, a
    subfolder of the data folder, or a folder of this user for temporary files.
    """
    if environment.get(UNPACK_FOLDER_VARIABLE):
        return pathlib.Path(environment[UNPACK_FOLDER_VARIABLE])
    data_folder = environment.get(DATA_FOLDER_VARIABLE, "")
    for index, argument in enumerate(arguments):
        name, equals, value = argument.partition("=")
        if name == _DATA_FLAG:
            data_folder = (
                value if equals else "".join(arguments[index + 1 :][:1])
            )
    if data_folder:
        return pathlib.Path(data_folder) / "unpacked"
    return pathlib.Path(tempfile.gettempdir()) / f"marigoldsill-{os.getuid()}"


def unpack(archive: str, folder: pathlib.Path) -> pathlib.Path:
    """Returns the folder of the unpacked archive; unpacks it if needed."""
    with zipfile.ZipFile(archive) as source:
        target = folder / source.read(_BUILD_ID_ENTRY).decode()
        if target.is_dir():
            return target
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        temporary_folder = pathlib.Path(
            tempfile.mkdtemp(prefix="part-", dir=folder)
        )
        names = [
            name for name in source.namelist() if name.startswith(_SITE_PREFIX)
        ]
        source.extractall(temporary_folder, names)
    try:
        temporary_folder.rename(target)
    except OSError:
        shutil.rmtree(temporary_folder, ignore_errors=True)
        if not target.is_dir():
            raise
    return target


def _check_owner(folder: pathlib.Path) -> None:
    if folder.stat().st_uid != os.getuid():
        sys.exit(
            f"marigoldsill: {folder} belongs to another user; set "
            f"{UNPACK_FOLDER_VARIABLE} to a folder that you own"
        )


def _check_python() -> None:
    required_version = (3, 11)
    if sys.version_info[:2] != required_version:
        sys.stderr.write("marigoldsill: this binary needs Python 3.11\n")
        sys.exit(_USAGE_ERROR_STATUS)


def main() -> None:
    """Unpacks the archive and runs the program."""
    _check_python()
    folder = choose_unpack_folder(sys.argv[1:], dict(os.environ))
    target = unpack(sys.argv[0], folder)
    _check_owner(folder)
    sys.path[0] = str(target / _SITE_PREFIX)
    runpy.run_module("marigoldsill", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
