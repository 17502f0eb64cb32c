"""CPU time and memory of processes, from ``/proc``."""

import os

TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def read_cpu_ms(pid):
    """Return the user and system CPU time of a process, in milliseconds."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as handle:
        fields = handle.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_S


def read_rss_kb(pid):
    """Return the resident set size of a process, in KiB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as handle:
        for line in handle:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    return 0
