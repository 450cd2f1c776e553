"""Failing commands print a readable message and exit with an error code."""

import subprocess
import sys

from testtools import TestCase
from testtools.matchers import Contains

from apricotlead.state.config_view import hash_key


def run(*arguments):
    """Run a command; return exit code, output and errors."""
    done = subprocess.run(
        [sys.executable, '-m', 'apricotlead', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


class TestCommands(TestCase):
    """Guards against tracebacks, and against errors that exit with 0."""

    def test_unreachable_instance(self):
        """Nothing listens on port 1."""
        code, _, errors = run('status', '127.0.0.1:1', 'j.1')
        self.assertEqual(2, code)
        self.assertThat(errors, Contains('gave no answer'))
        self.assertNotIn('Traceback', errors)

    def test_missing_settings(self):
        """The message names the file."""
        code, _, errors = run('entry', '--settings', '/absent.yaml')
        self.assertEqual(2, code)
        self.assertThat(errors, Contains('/absent.yaml'))

    def test_digest(self):
        """Operators put this digest into the configuration to grant a key."""
        code, output, _ = run('digest', 'secret')
        self.assertEqual((0, hash_key('secret')), (code, output.strip()))
