"""Starts the entry host's program: ``python3 -m pearrun.platform``."""

import signal


def main():
    """Read the settings and run until told to stop.

    The program's modules are imported only here, after the signal that
    the settings have changed is ignored: without that, one sent in the
    third of a second that the imports take would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from pearrun.platform import program

    program.run()


if __name__ == '__main__':
    main()
