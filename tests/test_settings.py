"""Settings are validated when they are loaded."""

from testtools import TestCase

from apricotlead.settings import Settings, SettingsError
from tests.embedded_cell import SETTINGS


class TestSettings(TestCase):
    """Guards against misspelt settings that silently keep their default."""

    def test_invalid_settings(self):
        """Each is refused, and the message names the setting."""
        cases = (
            ({'datacentre': 7}, 'datacentre'),
            ({'datacenter': 'marka'}, 'datacenter'),
            ({'sessions': {'session_tll_s': 5}}, 'sessions.session_tll_s'),
            ({'http_address': 'localhost:80'}, 'http_address'),
            ({'operator_key_digest': 'secret'}, 'operator_key_digest'),
            ({'leases': {'max_drift': 0.5}}, 'max_drift'),
            ({'leases': {'grant_ttl_s': 1}}, 'grant_ttl_s'),
            ({'dispatch': {'request_timeout_s': 0.5}}, 'hold_s'),
            ({'lookups': {'longest_deadline_s': 9.0}}, 'longest_deadline_s'),
        )
        for change, expected in cases:
            error = self.assertRaises(
                SettingsError,
                Settings.from_builtins,
                {**SETTINGS, **change},
            )
            self.assertIn(expected, str(error))

    def test_missing_file(self):
        """The message names the file."""
        error = self.assertRaises(SettingsError, Settings.from_file, '/absent')
        self.assertIn('/absent', str(error))

    def test_file(self):
        """Sections override single defaults."""
        path = self.useFixture(_SettingsFile())
        settings = Settings.from_file(path.name)
        self.assertEqual(6, settings.sessions.session_ttl_s)
        self.assertEqual(0.02, settings.sessions.max_drift)


class _SettingsFile:
    """A settings file that is deleted after the test."""

    def setUp(self):
        """Write the file."""
        from tempfile import NamedTemporaryFile

        import yaml

        self._file = NamedTemporaryFile('w', suffix='.yaml')
        self.name = self._file.name
        yaml.safe_dump(
            {**SETTINGS, 'sessions': {'session_ttl_s': 6}}, self._file
        )
        self._file.flush()

    def cleanUp(self):
        """Delete the file."""
        self._file.close()

    def getDetails(self):
        """Nothing to attach."""
        return {}
