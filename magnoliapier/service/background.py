"""Cancels the background tasks of an object that is closed."""

import asyncio


async def cancel_tasks(*tasks):
    """Cancel tasks and wait until they have ended; None stands for no task."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
