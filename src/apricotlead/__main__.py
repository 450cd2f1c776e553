"""Runs the command line with ``python -m apricotlead``."""

from apricotlead.cli import main

if __name__ == '__main__':
    main()
