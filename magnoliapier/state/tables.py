"""
The tables and parts that a shard's rows are kept in.

A part takes its transactions one after another, so entries write to parts of their own:
a burst of submissions to a slow store does not delay the holder's renewals.
"""

CANCEL_SUFFIX = "/cancel"
INTAKE_PARTS = 16  # by the first hexadecimal digit of the submission's id


def submissions_table(service):
    """Return the table that entries write the submissions of a service to."""
    return f"submissions.{service}"


def progress_table(service):
    """Return the table that the shard's holder writes progress to."""
    return f"progress.{service}"


def intake_part(service, submission_id):
    """Return the part that a submission and its cancellation are written to."""
    return f"{service}.{submission_id[:1]}"


def intake_parts(service):
    """Return all parts of a service's submissions."""
    return tuple(f"{service}.{digit:x}" for digit in range(INTAKE_PARTS))
