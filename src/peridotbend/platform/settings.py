"""Reads the settings file that the platform provides to each process."""

from typing import Any

import yaml
from result import Err, Ok, Result

from peridotbend.edge.settings import EdgeSettings
from peridotbend.platform.fields import (
    BadFieldError,
    Fields,
    read_address,
    read_str,
)


class _SettingsLoader(yaml.SafeLoader):
    """Loads YAML whose dates stay text, since no setting is a date."""

    def construct_object(self, node: yaml.Node, deep: bool = False) -> Any:
        """Returns the value of a node; its errors name the place."""
        try:
            return super().construct_object(node, deep)
        except (ValueError, LookupError, OverflowError) as error:
            raise yaml.constructor.ConstructorError(
                None, None, f"invalid value: {error}", node.start_mark
            ) from error


def _construct_text(loader: yaml.SafeLoader, node: yaml.ScalarNode) -> str:
    return str(loader.construct_scalar(node))


_SettingsLoader.add_constructor("tag:yaml.org,2002:timestamp", _construct_text)


def parse_settings(text: str) -> Result[EdgeSettings, str]:
    """Decodes the settings; the error names the invalid field or its place."""
    try:
        # Derived from SafeLoader, so that no tag creates other objects.
        document = yaml.load(text, Loader=_SettingsLoader)
        return Ok(_read_settings(Fields(document)))
    except RecursionError:
        return Err("the settings are nested too deeply")
    except (yaml.YAMLError, BadFieldError) as error:
        return Err(str(error))


def load_settings(path: str) -> Result[EdgeSettings, str]:
    """Reads and parses a settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"cannot read {path}: {error}")
    return parse_settings(text).map_err(lambda problem: f"{path}: {problem}")


def _read_settings(fields: Fields) -> EdgeSettings:
    listen = fields.get_mapping("listen")
    bounds = fields.get_mapping("bounds")
    ip = fields.get_str("ip")
    ports = fields.get_list("internal_ports", _read_port, optional=False)
    if len(ports) != 2 or ports[1] - ports[0] < 1:
        raise BadFieldError(
            "internal_ports: must be a list of the first and the last port"
        )
    store = fields.get_mapping("platform")
    limits = fields.get_mapping("limits") if "limits" in fields else None
    return EdgeSettings(
        name=fields.get_str("node_name"),
        zone=fields.get_str("zone"),
        callers=listen.get_address("frontend"),
        health=listen.get_address("ready"),
        peers=listen.get_address("control_plane"),
        digests=(ip, ports[0]),
        origins=(ip, ports[0] + 1),
        seeds=tuple(
            read_address(seed, f"seeds[{index}]")
            for index, seed in enumerate(fields.get_list("seeds", read_str))
        ),
        store=store.get_address("address"),
        max_open_files=limits.get_int("max_fds", 0) if limits else 0,
        memory_mb=limits.get_int("memory_mb", 0) if limits else 0,
        heartbeat_ms=fields.get_int("heartbeat_ms", 2_000, minimum=1),
        grace_ms=round(bounds.get_number("grace_s", 8.0) * 1_000),
        resend_share=bounds.get_number("retry_budget_ratio", 0.1),
        resend_slack=bounds.get_number("retry_slack", 8.0),
        resend_window_ms=round(
            bounds.get_number("retry_window_s", 10.0) * 1_000
        ),
        allowance_window_ms=round(
            bounds.get_number("quota_window_s", 8.0) * 1_000
        ),
        allowance_overage=bounds.get_number("quota_overage", 0.0),
        allowance_slack=bounds.get_number("quota_slack", 0.0),
        cold_overage=(
            bounds.get_number("cold_overage")
            if "cold_overage" in bounds
            else None
        ),
        cold_slack=bounds.get_number("cold_slack", 0.0),
    )


def _read_port(value: object, path: str) -> int:
    if not isinstance(value, int) or not 0 < value < 65_536:
        raise BadFieldError(f"{path}: must be a port number")
    return value
