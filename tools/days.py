"""Writes the test scenarios in deploy/days/, which the users' bench runs.

Each planned change and each fault has a scenario of its own, and most also
have scenarios in which a second one overlaps with it. The files refer to
services, zones (`@z0`) and kinds of request (`@c0`) by their index in the
description of a site, so that they can be run for any site.
"""

import dataclasses
import pathlib

OUTPUT_DIR = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "days"

# Requests/s in each zone: the normal rate of the smaller site, spread over
# three zones.
REQUESTS_PER_S_PER_ZONE = 24.0
ZONES = ("@z0", "@z1", "@z2")
# Weight of each kind of request in the descriptions of the sites.
REQUEST_MIX = {"@c0": 13.8, "@c1": 40.6, "@c2": 23.1, "@c3": 19.4, "@c4": 8.0}
# Length of a scenario with one event, with two and with a final fault, which
# needs time for the recovery.
SINGLE_EVENT_S = 18.0
EVENT_PAIR_S = 26.0
FINAL_FAULT_S = 34.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario: planned changes, faults and an optional final fault."""

    name: str
    plan: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    closing: str = ""
    length_s: float = SINGLE_EVENT_S


# Entries of the files without `at`, the start in seconds, which
# `_schedule_event` adds.
PLANNED_CHANGES = {
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
FAULTS = {
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
# Two overlapping events, and by how many seconds the second starts after the
# first.
EVENT_PAIRS = (
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
# The store returns from a copy that is x seconds old, in the scenarios of
# RESTORES.
STORE_RESTORES = {
    "store-restored": (
        'kind = "platform_down", how = "restored", x = 9.0, for_s = 2.0'
    ),
    "store-restored-short": (
        'kind = "platform_down", how = "restored", x = 4.0, for_s = 1.0'
    ),
}
# The users' day with a restored store, as they wrote it.
RESTORED_DAY = """\
name = "restored"
faults = [{ at = 15.0, kind = "platform_down", how = "restored", x = 9.0, for_s = 2.0 }]
plan = [{ at = 5.0, kind = "config_change", how = "route" }, { at = 9.0, kind = "config_change", how = "route" }, { at = 12.0, kind = "config_change", how = "idle" }, { at = 21.5, kind = "config_change", how = "route" }, { at = 22.0, kind = "scale_in", share = 0.1 }]
"""  # noqa: E501
# Events around a restore of the store: names, and starts in s. In the lost
# seconds, while the store is away, and after its return.
RESTORES: dict[str, tuple[tuple[str, float], ...]] = {
    "restored-short": (
        ("config-route", 5.0),
        ("store-restored-short", 10.0),
        ("config-route", 11.5),
    ),
    "restored-twice": (
        ("config-route", 5.0),
        ("store-restored-short", 9.0),
        ("config-route", 11.0),
        ("store-restored", 15.0),
        ("config-route", 18.0),
    ),
    "restored-and-scale-in": (
        ("scale-in", 9.0),
        ("config-route", 12.0),
        ("store-restored", 15.0),
        ("scale-in", 18.0),
    ),
    "restored-and-release": (
        ("release", 8.0),
        ("store-restored", 15.0),
        ("config-route", 18.0),
    ),
    "restored-and-srv-gone": (
        ("srv-gone", 8.0),
        ("store-restored", 14.0),
        ("srv-crash", 15.0),
        ("config-weights", 17.0),
    ),
    "restored-and-revoke": (
        ("revoke", 9.0),
        ("config-tenant", 12.0),
        ("store-restored", 14.0),
        ("revoke-last", 18.0),
    ),
    "restored-and-config-storm": (
        ("config-storm", 9.5),
        ("store-restored", 13.0),
        ("config-storm", 16.0),
    ),
    "restored-and-node-cut": (
        ("config-route", 8.0),
        ("node-cut", 11.0),
        ("store-restored", 13.0),
        ("config-route", 16.0),
    ),
    "restored-and-node-cut-all": (
        ("node-cut-all", 9.0),
        ("config-route", 11.0),
        ("store-restored", 12.0),
        ("config-route", 15.0),
    ),
    "restored-and-core-cut": (
        ("config-route", 8.0),
        ("core-cut", 11.0),
        ("store-restored", 13.0),
        ("config-route", 15.5),
    ),
    "restored-and-node-freeze": (
        ("config-route", 9.0),
        ("store-restored", 13.0),
        ("node-freeze", 13.5),
        ("config-route", 16.0),
    ),
    "restored-and-node-kill": (
        ("config-route", 9.0),
        ("config-tenant", 12.0),
        ("store-restored", 13.0),
        ("node-kill", 14.0),
        ("config-route", 17.0),
    ),
    "restored-and-herd-kill": (
        ("config-route", 9.0),
        ("store-restored", 13.0),
        ("herd-kill", 14.0),
        ("config-route", 18.0),
    ),
    "restored-and-roll-term": (
        ("config-route", 9.0),
        ("roll-term", 12.0),
        ("store-restored", 13.0),
        ("config-route", 17.0),
    ),
    "restored-and-zone-cut": (
        ("config-route", 8.0),
        ("zone-cut", 11.0),
        ("store-restored", 12.0),
        ("config-route", 15.0),
    ),
    "restored-and-store-some": (
        ("config-route", 9.0),
        ("store-restored", 12.0),
        ("store-some", 13.0),
        ("config-route", 16.0),
    ),
    "restored-and-store-compact": (
        ("config-route", 9.0),
        ("store-restored", 12.0),
        ("store-compact", 15.0),
        ("config-route", 17.0),
    ),
}
# Targets of another software version replace those that serve, and instances
# lose their memory meanwhile; in the scenarios of REJOINS.
VERSION_CHANGES = {
    "newer-all": (
        'kind = "release", how = "newer", share = 1.0, x = 60.0, '
        'service = "@s0"'
    ),
    "newer-half": (
        'kind = "release", how = "newer", share = 0.5, x = 2.0, gap_s = 0.4, '
        'service = "@s0"'
    ),
    "newer-one": 'kind = "release", how = "newer", count = 1, service = "@s0"',
}
ROLL_TERM_SOME = 'kind = "roll_term", share = 0.25, gap_s = 1.0'
POWER_OFF = 'kind = "herd_kill", how = "power", share = 1.0, for_s = 2.2'
# The users' day, as they wrote it but for the names of a site.
REJOINED_DAY = """\
name = "rejoined"
length_s = 50.0
classes = [{ name = "@c0", retries = 3 }]
plan = [{ at = 6.0, kind = "release", how = "newer", count = 1, service = "@s0" }, { at = 6.1, kind = "release", how = "newer rest", share = 1.0, x = 60.0, service = "@s0" }, { at = 20.0, kind = "release", how = "newer", count = 1, service = "@s0" }, { at = 20.1, kind = "release", how = "newer rest", share = 1.0, x = 60.0, service = "@s0" }, { at = 32.0, kind = "release", how = "newer", share = 0.5, x = 2.0, gap_s = 0.4, service = "@s0" }]
faults = [{ at = 2.0, kind = "burst", class = "@c0", x = 2.0, for_s = 44.0 }, { at = 8.3, kind = "herd_kill", how = "power", share = 1.0, for_s = 2.6 }, { at = 23.0, kind = "herd_kill", how = "power", share = 1.0, for_s = 2.2 }, { at = 41.0, kind = "herd_kill", how = "power", share = 1.0, for_s = 1.0 }]
"""  # noqa: E501
REJOINS: dict[str, tuple[tuple[str, float], ...]] = {
    "rejoined-short": (("newer-all", 5.0), ("power-off", 7.3)),
    "rejoined-and-herd-kill": (("newer-half", 4.0), ("herd-kill", 8.0)),
    "rejoined-and-node-kill": (("newer-all", 5.0), ("node-kill", 6.5)),
    "rejoined-and-roll-term": (("newer-half", 5.0), ("roll-term", 6.0)),
    "rejoined-and-zone-cut": (
        ("zone-cut", 4.5),
        ("newer-all", 5.5),
        ("herd-kill", 13.0),
    ),
    "rejoined-and-node-cut-all": (
        ("node-cut-all", 4.5),
        ("newer-half", 6.0),
        ("power-off", 12.0),
    ),
    "rejoined-and-node-freeze": (
        ("newer-half", 5.0),
        ("node-freeze", 5.5),
        ("herd-kill", 12.0),
    ),
    "rejoined-and-store-compact": (
        ("newer-all", 5.0),
        ("store-compact", 6.5),
        ("power-off", 7.0),
    ),
    "rejoined-and-store-silent": (
        ("newer-half", 4.0),
        ("store-silent", 6.5),
        ("herd-kill", 7.0),
    ),
    "rejoined-and-clock-step": (
        ("newer-all", 5.0),
        ("clock-step", 6.0),
        ("power-off", 8.0),
    ),
    "rejoined-and-srv-crash": (
        ("newer-half", 4.0),
        ("srv-crash", 7.0),
        ("herd-kill", 8.0),
    ),
    "rejoined-thrice": (
        ("newer-one", 3.0),
        ("newer-half", 6.0),
        ("newer-one", 9.0),
        ("power-off", 12.0),
    ),
}
# Instances lose their links to all targets, in the scenarios of UNREACHABLES.
LINK_CUTS = {
    "links-cut": (
        'kind = "srv_cut", share = 1.0, x = 0.5, for_s = 10.0, how = "some all"'
    ),
    "links-cut-most": (
        'kind = "srv_cut", share = 1.0, x = 0.8, for_s = 10.0, how = "some all"'
    ),
    "links-reset": (
        'kind = "srv_cut", share = 1.0, x = 0.5, for_s = 10.0, '
        'how = "some all reset"'
    ),
    "links-one-way": (
        'kind = "srv_cut", share = 1.0, x = 0.5, for_s = 10.0, '
        'how = "some all one_way"'
    ),
    "links-short": (
        'kind = "srv_cut", share = 1.0, x = 0.5, for_s = 3.0, how = "some all"'
    ),
}
UNREACHABLES = {
    "unreachable": (("links-cut", 5.0),),
    "unreachable-most": (("links-cut-most", 5.0),),
    "unreachable-reset": (("links-reset", 5.0),),
    "unreachable-one-way": (("links-one-way", 5.0),),
    "unreachable-often": (
        ("links-short", 4.0),
        ("links-reset", 8.0),
        ("links-short", 20.0),
    ),
    "unreachable-and-node-kill": (("links-cut", 5.0), ("node-kill", 9.0)),
    "unreachable-and-node-power": (("links-cut", 5.0), ("node-power", 9.0)),
    "unreachable-and-node-freeze": (("links-cut", 5.0), ("node-freeze", 9.0)),
    "unreachable-and-roll-term": (("links-reset", 5.0), ("roll-term", 6.0)),
    "unreachable-and-zone-cut": (("links-cut", 5.0), ("zone-cut", 9.0)),
    "unreachable-and-core-cut": (("links-cut", 5.0), ("core-cut", 8.0)),
    "unreachable-and-srv-crash": (("links-cut", 5.0), ("srv-crash", 9.0)),
    "unreachable-and-release": (("links-reset", 5.0), ("release", 8.0)),
    "unreachable-and-config-storm": (("links-cut", 5.0), ("config-storm", 8.0)),
    "unreachable-and-burst": (("links-cut", 5.0), ("burst", 9.0)),
    "unreachable-and-reset-conns": (("links-cut", 5.0), ("reset-conns", 9.0)),
}
FINAL_FAULTS = {
    "closing-power-off": '{ kind = "power_off_all", down_s = 1.3 }',
    "closing-kill": '{ kind = "kill_all", down_s = 0.7 }',
    "closing-wipe": '{ kind = "wipe_after_ack", down_s = 1.0 }',
}
FIRST_EVENT_AT_S = 5.0
# The users' day on which instances lose their links to all targets.
UNREACHABLE_DAY = """\
name = "unreachable-targets"
length_s = 45.0
plan = []
faults = [
  { at = 5.0, kind = "srv_cut", how = "some all", share = 1.0, x = 0.5, for_s = 12.0 },
  { at = 27.0, kind = "srv_cut", how = "some all reset", share = 1.0, x = 0.5, for_s = 12.0 },
]
"""  # noqa: E501
# The users' day on which all instances start together, and the store falls
# silent later.
JOINT_START_DAY = """\
name = "silent-after-joint-start"
length_s = 29.0
plan = [
  { at = 21.1, kind = "revoke", count = 5, gap_s = 0.05 },
  { at = 21.2, kind = "config_change", how = "tenant" },
  { at = 21.3, kind = "config_change", how = "route" },
  { at = 21.4, kind = "config_change", how = "tenant" },
  { at = 21.5, kind = "config_change", how = "route" },
]
faults = [
  { at = 13, kind = "herd_kill", share = 1.0, for_s = 1.0 },
  { at = 17.5, kind = "platform_down", how = "silent", for_s = 4.49 },
]
"""
# Outages of the store by the phase in which it comes back to instances that
# started together: how, and the length in seconds.
OUTAGES = {
    "silent-return-a": ("silent", 3.0),
    "silent-return-b": ("silent", 3.4),
    "silent-return-c": ("silent", 3.8),
    "silent-return-d": ("silent", 4.2),
    "silent-return-e": ("silent", 4.6),
    "silent-return-f": ("silent", 5.0),
    "silent-return-short": ("silent", 0.4),
    "busy-return": ("busy", 4.4),
    "reset-return": ("reset", 4.4),
    "lapse-return": ("silent lapse", 4.4),
}
JOINT_START_AT_S = 5.0
OUTAGE_AT_S = 9.0
# Changes are sent before the return, and confirmed with it.
CHANGES_BEFORE_RETURN_S = (("config-tenant", 0.3), ("config-route", 0.2))
# What else happens during an outage that is silent for 4.2 s.
RETURN_EVENTS = {
    "silent-return-and-roll-term": ("roll-term-some", 0.5),
    "silent-return-and-zone-cut": ("zone-cut", 1.0),
    "silent-return-and-hup": ("hup", 3.0),
    "silent-return-and-node-freeze": ("node-freeze", 3.5),
    "silent-return-and-scale-in": ("scale-in", 4.4),
}


def _schedule_outage(
    name: str, how: str, length_s: float, extra: tuple[str, float] | None = None
) -> Scenario:
    """Returns a scenario in which the store comes back after a joint start."""
    plan, faults = _schedule_event("herd-kill", JOINT_START_AT_S)
    end_s = OUTAGE_AT_S + length_s
    events = [
        (change, round(end_s - before_s, 2))
        for change, before_s in CHANGES_BEFORE_RETURN_S
    ]
    events.append(("revoke", round(end_s + 0.1, 2)))
    if extra is not None:
        events.append((extra[0], OUTAGE_AT_S + extra[1]))
    for event, at_s in events:
        more_plan, more_faults = _schedule_event(event, at_s)
        plan += more_plan
        faults += more_faults
    faults += (
        f'at = {OUTAGE_AT_S}, kind = "platform_down", for_s = {length_s}, '
        f'how = "{how}"',
    )
    return Scenario(name, plan, faults, length_s=EVENT_PAIR_S)


def _schedule_event(
    name: str, at_s: float
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the entries of one event for the plan and for the faults."""
    planned = PLANNED_CHANGES.get(name) or VERSION_CHANGES.get(name)
    if planned:
        return (f"at = {at_s}, {planned}",), ()
    if name == "roll-term-some":
        return (f"at = {at_s}, {ROLL_TERM_SOME}",), ()
    if name == "power-off":
        return (), (f"at = {at_s}, {POWER_OFF}",)
    fault = FAULTS.get(name) or STORE_RESTORES.get(name) or LINK_CUTS[name]
    return (), (f"at = {at_s}, {fault}",)


def list_scenarios() -> list[Scenario]:
    """Returns all scenarios in the order of their seeds."""
    scenarios = []
    for name in (*PLANNED_CHANGES, *FAULTS):
        plan, faults = _schedule_event(name, FIRST_EVENT_AT_S)
        scenarios.append(Scenario(name, plan, faults))
    for first, second, delay_s in EVENT_PAIRS:
        first_plan, first_faults = _schedule_event(first, FIRST_EVENT_AT_S)
        second_plan, second_faults = _schedule_event(
            second, FIRST_EVENT_AT_S + delay_s
        )
        scenarios.append(
            Scenario(
                f"{first}-and-{second}",
                first_plan + second_plan,
                first_faults + second_faults,
                length_s=EVENT_PAIR_S,
            )
        )
    for name, closing in FINAL_FAULTS.items():
        plan, faults = _schedule_event("config-tenant", FIRST_EVENT_AT_S)
        scenarios.append(Scenario(name, plan, faults, closing, FINAL_FAULT_S))
    for name, events in (
        *RESTORES.items(),
        *REJOINS.items(),
        *UNREACHABLES.items(),
    ):
        parts = [_schedule_event(event, at_s) for event, at_s in events]
        scenarios.append(
            Scenario(
                name,
                tuple(entry for plan, _ in parts for entry in plan),
                tuple(entry for _, faults in parts for entry in faults),
                length_s=EVENT_PAIR_S,
            )
        )
    scenarios += [
        _schedule_outage(name, *outage) for name, outage in OUTAGES.items()
    ]
    scenarios += [
        _schedule_outage(name, *OUTAGES["silent-return-d"], event)
        for name, event in RETURN_EVENTS.items()
    ]
    return scenarios


def format_scenario(scenario: Scenario, number: int) -> str:
    """Returns the content of the file of a scenario."""
    mix = ", ".join(
        f'"{kind}" = {weight}' for kind, weight in REQUEST_MIX.items()
    )
    lines = [
        "# Written by tools/days.py.",
        f'name = "{scenario.name}"',
        f"seed = {1_000 + number}",
        f"length_s = {scenario.length_s}",
    ]
    if scenario.closing:
        lines.append(f"closing = {scenario.closing}")
    for field, entries in (
        ("plan", scenario.plan),
        ("faults", scenario.faults),
    ):
        lines.append(f"{field} = [")
        lines += [f"  {{ {entry} }}," for entry in entries]
        lines.append("]")
    lines.append("traffic = [")
    for index, zone in enumerate(ZONES):
        phase = round(0.1 + 0.3 * index, 1)
        lines.append(
            f'  {{ zone = "{zone}", mix = {{ {mix} }}, '
            f"per_s = {REQUESTS_PER_S_PER_ZONE}, clients = 15, users = 1, "
            'shape = { kind = "wave", swing = 0.15, period_s = 11.0, '
            f"phase = {phase}, clump = 3.0 }} }},"
        )
    lines.append("]")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Deletes the old files and writes all scenarios."""
    OUTPUT_DIR.mkdir(exist_ok=True)
    for path in OUTPUT_DIR.glob("*.toml"):
        path.unlink()
    for number, scenario in enumerate(list_scenarios()):
        path = OUTPUT_DIR / f"{scenario.name}.toml"
        path.write_text(format_scenario(scenario, number))
    (OUTPUT_DIR / "restored.toml").write_text(RESTORED_DAY)
    (OUTPUT_DIR / "rejoined.toml").write_text(REJOINED_DAY)
    (OUTPUT_DIR / "unreachable-targets.toml").write_text(UNREACHABLE_DAY)
    (OUTPUT_DIR / "silent-after-joint-start.toml").write_text(JOINT_START_DAY)


if __name__ == "__main__":
    main()
