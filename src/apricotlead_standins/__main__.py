"""Entry point of ``python -m apricotlead_standins``."""

from apricotlead_standins.cli import main

if __name__ == '__main__':
    main()
