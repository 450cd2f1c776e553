"""Adapter to the users' platform: its message formats and its calls.

Each message is decoded once, into the types of :mod:`apricotlead.protocol`.
The adapter contains no scheduling decisions.
"""
