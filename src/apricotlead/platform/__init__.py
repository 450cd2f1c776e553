"""The adapter to the users' platform: its names, formats and calls.

Each message is decoded once into the project's types; nothing here decides.
"""
