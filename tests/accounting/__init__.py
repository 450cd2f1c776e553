"""Random schedules that check what the scheduler counts of runs and room."""
