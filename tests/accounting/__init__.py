"""Plays random schedules and checks the scheduler's accounting of runs."""
