# The operator's file: settings of one installation, in addition to the configuration that the platform gives a
# controller. All of it is optional: a feature that is not configured here is off, and a missing field has its default.
# The path is given by --operator or MINTKEEL_OPERATOR. SIGHUP reloads the file; if it is invalid, none of it is applied.
# `mintkeel check --operator FILE` reports the problems of a file.
#
# All blocks below are commented out.

# log {
#   format = "text"   # "text" for people, "json" for programs
#   level  = "info"   # "debug", "info", "warn" or "error"
#   burst  = 20       # lines of one kind in each period of `every`; further ones are counted as dropped
#   every  = "1s"
# }

# Rules about queries, in order: docs/rules.md. They can only restrict what the settings allow.
# rule "menu marts are hot" {
#   when = "tenant == 'acme' && table_name startswith 'menu_'"
#   hot  = true
# }

# A controller's learned statistics, kept across restarts: docs/memory.md. Needs a disk that outlives the process.
# memory {
#   folder = "/var/lib/mintkeel/n3"   # used by this controller only; created if its parent exists
#   pace   = "5s"                     # interval between snapshots, "100ms" to "1h"
# }

# A fleet, whose controllers communicate: docs/fleet.md. Needs a port, a key and a disk that outlives the process.
# fleet {
#   name     = "east"
#   listen   = "10.0.0.4:9443"
#   key_file = "/etc/mintkeel/fleet.key"
#   folder   = "/var/lib/mintkeel/n4/fleet"
#   council  = { n1 = "10.0.0.1:9443", n2 = "10.0.0.2:9443", n3 = "10.0.0.3:9443" }
# }

# Rules, log, memory, leases and maintenance from versions that the fleet agrees on, instead of from this file:
# docs/config.md. Needs a fleet block. These settings of this file then apply only until the first version is agreed.
# config {
#   wait = "3s"   # longest search for the latest version at startup, before clients are served, "100ms" to "8s"
# }

# Engines taken out of service for maintenance, in an order that the controllers agree on: docs/maintenance.md. Needs a
# fleet block.
# maintenance {
#   drain = "/usr/local/lib/mintkeel/drain"
#   work  = "/usr/local/lib/mintkeel/work"
#   back  = "/usr/local/lib/mintkeel/back"
# }
