"""Writes the days in deploy/days/ that the users' bench plays for us.

Each kind of trouble has a day on which it comes alone, and one on which it
meets a second trouble. The files name services, zones and kinds of request by
their place on a site's sheet, so that they fit any site.
"""

import dataclasses
import pathlib

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "days"

# The calm rate of the smaller site, spread over three zones.
RATE_PER_ZONE = 24.0
ZONES = ("@z0", "@z1", "@z2")
# Parts of the kinds of request on the sheets.
MIX = {"@c0": 13.8, "@c1": 40.6, "@c2": 23.1, "@c3": 19.4, "@c4": 8.0}
ALONE_S = 18.0
PAIRED_S = 26.0
# A final fault needs time to recover after it.
CLOSING_S = 34.0


@dataclasses.dataclass(frozen=True)
class Day:
    """One day: what is planned, what fails, and how it ends."""

    name: str
    plan: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    closing: str = ""
    length_s: float = ALONE_S


# Entries without `at`; a day adds it.
PLANNED = {
    "release": 'kind = "release", share = 0.5, x = 1.0, gap_s = 1.0',
    "scale-in": 'kind = "scale_in", share = 0.2',
    "scale-in-spot": 'kind = "scale_in", share = 0.2, how = "spot", x = 1.0',
    "scale-out": 'kind = "scale_out", share = 0.4, gap_s = 2.0',
    "roll-term": 'kind = "roll_term", share = 1.0, gap_s = 1.0',
    "roll-term-busy": (
        'kind = "roll_term", share = 1.0, gap_s = 1.0, how = "busy"'
    ),
    "add-nodes": 'kind = "add_nodes", count = 2',
    "hup": 'kind = "hup", share = 1.0, gap_s = 2.0',
    "config-route": 'kind = "config_change", how = "route"',
    "config-weights": 'kind = "config_change", how = "weights"',
    "config-timeout": 'kind = "config_change", how = "timeout"',
    "config-tenant": 'kind = "config_change", how = "tenant"',
    "config-quota-down": 'kind = "config_change", how = "quota down"',
    "config-storm": 'kind = "config_storm", for_s = 5.0, gap_s = 0.3',
    "big-config": 'kind = "big_config", count = 400',
    "revoke": 'kind = "revoke", count = 3, gap_s = 0.4',
    "revoke-last": 'kind = "revoke", count = 2, gap_s = 0.4, how = "last"',
}
FAILING = {
    "burst": 'kind = "burst", x = 2.2, for_s = 5.0',
    "hot-key": 'kind = "hot_key", share = 0.4, for_s = 6.0, class = "@c0"',
    "hot-tenant": 'kind = "hot_tenant", x = 8.0, for_s = 7.0',
    "retry-abuse": 'kind = "retry_abuse", share = 0.5, x = 4.0, for_s = 6.0',
    "give-up": 'kind = "give_up", share = 0.5, x = 300.0, for_s = 6.0',
    "give-up-once": (
        'kind = "give_up", share = 0.5, x = 150.0, for_s = 6.0, how = "once"'
    ),
    "srv-crash": 'kind = "srv_crash", share = 0.3, for_s = 4.0',
    "srv-dark": 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"',
    "srv-gone": 'kind = "srv_crash", share = 0.25, how = "gone"',
    "srv-slow": 'kind = "srv_slow", share = 0.3, x = 6.0, for_s = 7.0',
    "grey-errors": (
        'kind = "srv_grey", share = 0.3, x = 0.6, for_s = 7.0, how = "errors"'
    ),
    "grey-shed": (
        'kind = "srv_grey", share = 0.3, x = 0.6, for_s = 7.0, how = "shed"'
    ),
    "grey-busy": (
        'kind = "srv_grey", share = 0.3, x = 0.6, for_s = 7.0, how = "busy"'
    ),
    "grey-hang": (
        'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 7.0, how = "hang"'
    ),
    "grey-reset": (
        'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 7.0, how = "reset"'
    ),
    "grey-mute": (
        'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 7.0, how = "mute"'
    ),
    "grey-one-zone": (
        'kind = "srv_grey", share = 0.4, x = 0.8, for_s = 7.0, '
        'how = "errors one_zone", to_zone = "@z0"'
    ),
    "answer-lost": 'kind = "answer_lost", share = 1.0, x = 0.2, for_s = 7.0',
    "answer-lost-reset": (
        'kind = "answer_lost", share = 1.0, x = 0.2, for_s = 7.0, '
        'how = "reset"'
    ),
    "garble": 'kind = "garble", share = 1.0, x = 0.08, for_s = 7.0',
    "garble-extra": (
        'kind = "garble", share = 1.0, x = 0.08, for_s = 7.0, how = "extra"'
    ),
    "garble-unframed": (
        'kind = "garble", share = 1.0, x = 0.08, for_s = 7.0, how = "unframed"'
    ),
    "garble-early": (
        'kind = "garble", share = 1.0, x = 0.08, for_s = 7.0, how = "early"'
    ),
    "node-kill": 'kind = "node_kill", share = 0.3, for_s = 2.0',
    "node-power": (
        'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"'
    ),
    "herd-kill": 'kind = "herd_kill", share = 1.0, for_s = 1.0',
    "herd-power": (
        'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"'
    ),
    "after-ack-kill": 'kind = "after_ack_kill", count = 3, for_s = 2.0',
    "zone-cut": 'kind = "zone_cut", for_s = 6.0, zone = "@z0"',
    "zone-cut-reset": (
        'kind = "zone_cut", for_s = 6.0, zone = "@z0", how = "reset"'
    ),
    "core-cut": 'kind = "core_cut", count = 2, for_s = 6.0',
    "node-cut": 'kind = "node_cut", share = 0.4, for_s = 6.0',
    "node-cut-all": (
        'kind = "node_cut", share = 0.4, for_s = 6.0, how = "all"'
    ),
    "node-cut-servers": (
        'kind = "node_cut", share = 0.4, for_s = 6.0, how = "servers"'
    ),
    "srv-cut": 'kind = "srv_cut", share = 0.3, for_s = 6.0',
    "srv-cut-some": (
        'kind = "srv_cut", share = 0.4, x = 0.5, for_s = 6.0, how = "some"'
    ),
    "srv-cut-reborn": (
        'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "reborn"'
    ),
    "lossy": 'kind = "lossy", x = 0.05, for_s = 7.0, zone = "@z0"',
    "store-silent": 'kind = "platform_down", for_s = 6.0, how = "silent"',
    "store-lapse": 'kind = "platform_down", for_s = 6.0, how = "busy lapse"',
    "store-some": (
        'kind = "platform_down", for_s = 7.0, share = 0.4, how = "nodes many"'
    ),
    "store-some-revoke": (
        'kind = "platform_down", for_s = 9.0, share = 0.4, '
        'how = "nodes revoke meet"'
    ),
    "store-slow": 'kind = "platform_slow", x = 80.0, for_s = 6.0',
    "store-lost": 'kind = "platform_lost", x = 0.4, for_s = 6.0',
    "store-compact": (
        'kind = "platform_compact", x = 6.0, for_s = 9.0, how = "drain"'
    ),
    "reuse": 'kind = "replace_with_reuse", share = 0.3',
    "reuse-dark": 'kind = "replace_with_reuse", share = 0.3, how = "dark"',
    "reuse-drain": 'kind = "replace_with_reuse", share = 0.3, how = "drain"',
    "node-freeze": 'kind = "node_freeze", share = 0.4, for_s = 3.0',
    "node-slow": 'kind = "node_slow", share = 0.3, x = 6.0, for_s = 6.0',
    "clock-step": ('kind = "clock_step", x = 4000.0, share = 0.5, for_s = 5.0'),
    "clock-back": (
        'kind = "clock_step", x = 4000.0, share = 0.5, for_s = 5.0, '
        'how = "back"'
    ),
    "reset-conns": 'kind = "reset_conns", share = 0.5, x = 0.7',
}
# Two troubles that overlap: the second begins this long after the first.
PAIRS = (
    ("node-cut", "revoke", 1.0),
    ("core-cut", "revoke-last", 1.0),
    ("store-some", "config-tenant", 2.0),
    ("store-silent", "scale-in", 1.0),
    ("store-lapse", "node-kill", 2.0),
    ("store-compact", "config-storm", 1.0),
    ("store-slow", "release", 0.5),
    ("store-lost", "config-route", 1.0),
    ("zone-cut", "scale-in", 1.0),
    ("zone-cut", "config-storm", 0.5),
    ("zone-cut-reset", "node-kill", 2.0),
    ("node-cut-all", "scale-in", 1.0),
    ("node-cut-servers", "burst", 0.5),
    ("node-freeze", "revoke", 0.5),
    ("node-freeze", "scale-in", 0.5),
    ("node-freeze", "config-weights", 0.5),
    ("node-slow", "burst", 0.5),
    ("after-ack-kill", "config-storm", 0.0),
    ("herd-kill", "revoke", -0.5),
    ("herd-power", "scale-in", -0.3),
    ("node-power", "zone-cut", 1.0),
    ("roll-term", "scale-in", 1.0),
    ("roll-term-busy", "config-storm", 0.5),
    ("roll-term", "zone-cut", 1.0),
    ("hup", "config-storm", 0.5),
    ("hup", "burst", 0.5),
    ("add-nodes", "revoke", 1.0),
    ("add-nodes", "burst", 1.0),
    ("scale-out", "burst", 0.5),
    ("scale-in-spot", "burst", 0.5),
    ("release", "node-cut", 1.0),
    ("reuse", "zone-cut", -0.5),
    ("reuse-dark", "node-cut", -0.5),
    ("reuse-drain", "store-silent", -0.5),
    ("srv-crash", "burst", 0.5),
    ("srv-dark", "burst", 0.5),
    ("srv-gone", "store-silent", 0.5),
    ("srv-slow", "burst", 0.5),
    ("srv-cut", "scale-in", 0.5),
    ("srv-cut-some", "store-some", 0.5),
    ("srv-cut-reborn", "store-silent", 0.5),
    ("grey-errors", "retry-abuse", 0.5),
    ("grey-shed", "burst", 0.5),
    ("grey-busy", "hot-tenant", 0.5),
    ("grey-hang", "give-up", 0.5),
    ("grey-reset", "retry-abuse", 0.5),
    ("grey-mute", "burst", 0.5),
    ("grey-one-zone", "zone-cut", 1.0),
    ("answer-lost", "retry-abuse", 0.0),
    ("answer-lost-reset", "roll-term", 0.5),
    ("garble", "reset-conns", 1.0),
    ("garble-extra", "give-up-once", 0.5),
    ("garble-unframed", "srv-crash", 1.0),
    ("garble-early", "lossy", 0.5),
    ("hot-tenant", "config-quota-down", 1.0),
    ("hot-tenant", "node-cut", 1.0),
    ("hot-key", "srv-crash", 1.0),
    ("clock-step", "config-timeout", 1.0),
    ("clock-back", "store-lapse", 0.5),
    ("big-config", "roll-term", 1.0),
    ("lossy", "config-tenant", 1.0),
    ("reset-conns", "burst", 0.0),
)
CLOSINGS = {
    "closing-power-off": '{ kind = "power_off_all", down_s = 1.3 }',
    "closing-kill": '{ kind = "kill_all", down_s = 0.7 }',
    "closing-wipe": '{ kind = "wipe_after_ack", down_s = 1.0 }',
}
FIRST_AT_S = 5.0


def _place(name: str, at_s: float) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the lines of plan and faults for one trouble."""
    if name in PLANNED:
        return (f"at = {at_s}, {PLANNED[name]}",), ()
    return (), (f"at = {at_s}, {FAILING[name]}",)


def list_days() -> list[Day]:
    """Returns all days."""
    days = []
    for name in (*PLANNED, *FAILING):
        plan, faults = _place(name, FIRST_AT_S)
        days.append(Day(name, plan, faults))
    for first, second, delay_s in PAIRS:
        first_plan, first_faults = _place(first, FIRST_AT_S)
        second_plan, second_faults = _place(second, FIRST_AT_S + delay_s)
        days.append(
            Day(
                f"{first}-and-{second}",
                first_plan + second_plan,
                first_faults + second_faults,
                length_s=PAIRED_S,
            )
        )
    for name, closing in CLOSINGS.items():
        plan, faults = _place("config-tenant", FIRST_AT_S)
        days.append(Day(name, plan, faults, closing, CLOSING_S))
    return days


def format_day(day: Day, number: int) -> str:
    """Returns the text of a day's file."""
    mix = ", ".join(f'"{kind}" = {part}' for kind, part in MIX.items())
    lines = [
        "# Written by tools/days.py.",
        f'name = "{day.name}"',
        f"seed = {1_000 + number}",
        f"length_s = {day.length_s}",
    ]
    if day.closing:
        lines.append(f"closing = {day.closing}")
    for field, entries in (("plan", day.plan), ("faults", day.faults)):
        lines.append(f"{field} = [")
        lines += [f"  {{ {entry} }}," for entry in entries]
        lines.append("]")
    lines.append("traffic = [")
    for index, zone in enumerate(ZONES):
        phase = round(0.1 + 0.3 * index, 1)
        lines.append(
            f'  {{ zone = "{zone}", mix = {{ {mix} }}, '
            f"per_s = {RATE_PER_ZONE}, clients = 15, users = 1, "
            'shape = { kind = "wave", swing = 0.15, period_s = 11.0, '
            f"phase = {phase}, clump = 3.0 }} }},"
        )
    lines.append("]")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Writes all files anew."""
    FOLDER.mkdir(exist_ok=True)
    for path in FOLDER.glob("*.toml"):
        path.unlink()
    for number, day in enumerate(list_days()):
        path = FOLDER / f"{day.name}.toml"
        path.write_text(format_day(day, number))


if __name__ == "__main__":
    main()
