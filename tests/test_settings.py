"""Validation of settings; errors name the key and its line."""

import pytest

from pearrun import exceptions
from pearrun.api import settings
from tests import builders


def test_valid_daemon_settings_load():
    text = builders.build_daemon_settings_yaml(
        'bv-1', 'boa-viagem', 8101, 'http://127.0.0.1:1', []
    )
    loaded = settings.parse_yaml(text, settings.Settings)
    assert loaded.host.zone == 'boa-viagem'


def test_invalid_yaml_gets_code_1101():
    with pytest.raises(exceptions.SettingsSyntaxError) as caught:
        settings.parse_yaml('host: [unclosed', settings.Settings)
    assert caught.value.code == 1101


def test_error_for_invalid_value_names_key_and_line():
    text = builders.build_daemon_settings_yaml(
        'bv-1', 'boa-viagem', 8101, 'http://127.0.0.1:1', []
    ).replace('port: 8101', 'port: 99999')
    with pytest.raises(exceptions.SettingsValueError) as caught:
        settings.parse_yaml(text, settings.Settings, source='bv.yaml')
    assert caught.value.code == 1102
    assert 'host.listen.port' in caught.value.message
    assert 'line 4' in caught.value.message


def test_unknown_key_is_rejected():
    text = builders.TEAM_TREE_YAML.replace('max_tokens: 24', 'max_tokns: 24')
    with pytest.raises(exceptions.SettingsValueError) as caught:
        settings.parse_yaml(text, settings.TeamTree)
    assert 'max_tokns' in caught.value.message


def test_service_in_two_teams_is_rejected():
    text = builders.TEAM_TREE_YAML.replace(
        'permit-assistant:', 'pearrun-oficina:'
    )
    with pytest.raises(exceptions.SettingsValueError):
        settings.parse_yaml(text, settings.TeamTree)


def test_error_codes_are_unique_and_in_the_table():
    codes = [error.code for error in exceptions.ALL_ERRORS]
    assert len(codes) == len(set(codes))
    with open('docs/errors.md', encoding='utf-8') as handle:
        table = handle.read()
    for error in exceptions.ALL_ERRORS:
        assert f'| {error.code} | {error.__name__} |' in table


def test_free_ports_are_unique():
    ports = [builders.find_free_port() for _ in range(300)]
    assert len(set(ports)) == 300


def test_every_error_is_rebuilt_from_its_code():
    # Errors without an entry came back from other hosts as unknown ones.
    classes = [
        item
        for item in vars(exceptions).values()
        if isinstance(item, type) and issubclass(item, exceptions.PearrunError)
    ]
    assert set(classes) == set(exceptions.ALL_ERRORS)


def test_unknown_priority_is_a_settings_error():
    text = builders.build_daemon_settings_yaml(
        'bv-1', 'boa-viagem', 8101, 'http://127.0.0.1:1', []
    )
    with pytest.raises(ValueError, match='none of interactive'):
        settings.ServiceSettings.parse_priority('urgent')
    assert settings.parse_yaml(text, settings.Settings)
