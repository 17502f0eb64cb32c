"""Exclusive use of a directory by one soak run."""

import contextlib
import fcntl


class DirectoryInUseError(Exception):
    """Another run writes its settings and logs to the directory."""


@contextlib.contextmanager
def lock_directory(directory):
    """Keep other runs from using a directory.

    The hosts of both runs would read the settings files of the second one,
    and so call its store and its endpoints.

    :raises DirectoryInUseError: another run uses it.
    """
    with open(directory / 'lock', 'w') as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            raise DirectoryInUseError(
                f'{directory} is in use by another soak run; choose another '
                'one with --logs'
            ) from exc
        yield
