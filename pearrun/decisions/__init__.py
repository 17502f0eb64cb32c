"""Pure decisions: no input or output, no clock reads.

Each module names the load pattern it answers and the reason for its
limits; callers pass times and counts in.
"""
