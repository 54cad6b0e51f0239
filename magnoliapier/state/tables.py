"""
The tables and parts that a shard's rows are kept in.

The store applies the transactions of a part one after another. Entries therefore do not
write to the part of the shard's holder: a burst of submissions to a slow store does not
delay the renewals of the lease.
"""

CANCEL_SUFFIX = "/cancel"
INTAKE_PARTS = 16  # one for each first hexadecimal digit of a submission's id


def submissions_table(service):
    """Return the table to which entries write the submissions of a service."""
    return f"submissions.{service}"


def progress_table(service):
    """Return the table to which the shard's holder writes progress."""
    return f"progress.{service}"


def intake_part(service, submission_id):
    """Return the part that holds a submission and its cancellation."""
    return f"{service}.{submission_id[:1]}"


def intake_parts(service):
    """Return all parts that hold submissions of a service."""
    return tuple(f"{service}.{digit:x}" for digit in range(INTAKE_PARTS))
