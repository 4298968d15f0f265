"""Settings files: accepted syntax and error messages."""

from click import testing as click_testing
import pytest

from bulrushhold import cli
from bulrushhold import errors
from bulrushhold import settings

VALID = """{
  // An entry on a small instance.
  "name": "e1", "data_centre": "north",
  "http": {"host": "127.0.0.1", "port": 8080},
  "peer": {"host": "127.0.0.1", "port": 8081},
  "control": [{"host": "127.0.0.1", "port": 7001}],
  /* the list of live instances */
  "platform_url": "http://127.0.0.1:9000/list",
}"""

INVALID = [
    ('{', 'Unexpected end'),
    ('[]', 'expected an object'),
    (VALID.replace('"name": "e1",', ''), 'missing required field `name`'),
    (VALID.replace('"e1"', '"E 1"'), "'name' must match"),
    (
        VALID.replace('8080', '"8080"'),
        'Expected `int`, got `str` - at `$.http',
    ),
    (VALID.replace('8080', '70000'), "'port' must be <="),
    (VALID.replace('8080', '8080, "prot": 1'), 'field at `$.http.prot`'),
    (VALID.replace('"name"', '"recovry": {}, "name"'), '`$.recovry`'),
    (
        VALID.replace('"name"', '"recovery": {"policy": "fast"}, "name"'),
        "Invalid enum value 'fast' - at `$.recovery.policy`",
    ),
    (VALID.replace('http://', 'ftp://'), "'platform_url' must match"),
    (VALID.replace('"127.0.0.1", "port": 8081', '"host", "port": 1'), 'host'),
    (VALID.replace('"name"', '"name": "e2", "name"'), 'Duplicate key "name"'),
    (VALID.replace('[{"host": "127.0.0.1", "port": 7001}]', '[]'), 'control'),
]


def write(tmp_path, text):
    path = tmp_path / 'settings.json'
    path.write_text(text)
    return path


def test_comments_and_trailing_commas_are_read(tmp_path):
    config = settings.load(write(tmp_path, VALID), settings.Entry)
    assert config.http == settings.Address('127.0.0.1', 8080)
    assert config.recovery.policy == 'thrifty'


@pytest.mark.parametrize(('text', 'reason'), INVALID)
def test_invalid_settings_give_file_and_reason_on_one_line(
    tmp_path, text, reason
):
    path = write(tmp_path, text)
    with pytest.raises(errors.SettingsError) as raised:
        settings.load(path, settings.Entry)
    assert str(path) in str(raised.value)
    assert reason in str(raised.value)
    result = click_testing.CliRunner().invoke(
        cli.main, ['settings', 'check', str(path)]
    )
    assert result.exit_code == 1
    assert len(result.output.strip().splitlines()) == 1


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(errors.SettingsError, match='No such file'):
        settings.load(tmp_path / 'none.json', settings.Entry)


@pytest.mark.parametrize('count', [2, 4])
def test_control_requires_an_odd_number_of_replicas(tmp_path, count):
    replicas = ', '.join(
        f'"c{n}": {{"host": "127.0.0.1", "port": {7000 + n}}}'
        for n in range(count)
    )
    text = (
        '{"name": "c0", "data_centre": "n", "data_dir": "d", '
        '"peer": {"host": "127.0.0.1", "port": 7000}, '
        f'"replicas": {{{replicas}}}}}'
    )
    with pytest.raises(errors.SettingsError, match='1, 3, 5 or 7'):
        settings.load(write(tmp_path, text), settings.Control)


def test_a_short_operator_key_is_rejected(tmp_path):
    with pytest.raises(errors.SettingsError, match='16 characters'):
        settings.read_key(str(write(tmp_path, 'short')))
