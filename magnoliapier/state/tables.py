"""
The tables and parts that a shard's rows are kept in.

The store applies the transactions of a part one after another. Entries therefore do not
write to the part of the shard's holder: a burst of submissions to a slow store does not
delay the renewals of the lease.
"""

CANCEL_SUFFIX = "/cancel"


def submissions_table(service):
    """Return the table to which entries write the submissions of a service."""
    return f"submissions.{service}"


def progress_table(service):
    """Return the table to which the shard's holder writes progress."""
    return f"progress.{service}"


def intake_part(home, submission_id):
    """
    Return the part that holds a submission and its cancellation.

    ``home`` is the first service that the submission's queue had. A moved queue
    keeps its parts, so that one transaction covers the tables of all its services.
    There is a part for each first hexadecimal digit of the id.
    """
    return f"{home}.{submission_id[:1]}"
