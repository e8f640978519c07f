# The operator's file: settings of one installation, beside what the platform tells a controller. A controller needs
# none of it: what is not named here is off or at its usual value. Named by --operator or MINTKEEL_OPERATOR; read again
# at SIGHUP, whole or not at all. `mintkeel check --operator FILE` tells what is wrong with one.
#
# As it stands, everything is off.

# log {
#   format = "text"   # "text" for people, "json" for programs
#   level  = "info"   # "debug", "info", "warn" or "error"
#   burst  = 20       # lines of one kind within the time below; the rest is counted as dropped
#   every  = "1s"
# }

# Rules about commands, in order: docs/rules.md. They can only narrow what the settings allow.
# rule "menu marts are hot" {
#   when = "tenant == 'acme' && table_name startswith 'menu_'"
#   hot  = true
# }

# What a controller has learned, kept past a restart: docs/memory.md. It needs a disk that outlives the process.
# memory {
#   folder = "/var/lib/mintkeel/n3"   # of this controller alone; made if its parent is there
#   pace   = "5s"                     # between two snapshots, "100ms" to "1h"
# }

# A fleet whose controllers talk: docs/fleet.md. It needs a port, a key and a disk that outlives the process.
# fleet {
#   name     = "east"
#   listen   = "10.0.0.4:9443"
#   key_file = "/etc/mintkeel/fleet.key"
#   folder   = "/var/lib/mintkeel/n4/fleet"
#   council  = { n1 = "10.0.0.1:9443", n2 = "10.0.0.2:9443", n3 = "10.0.0.3:9443" }
# }

# Rules, log, memory, leases and maintenance from versions that the fleet agrees on, instead of from this file: docs/config.md.
# It needs a block fleet; what else stands in this file then counts only until the first version is agreed.
# config {
#   wait = "3s"   # at a start, the longest time to look for the latest version before clients are served, "100ms" to "8s"
# }

# Engines taken out for work in an order that the controllers settle: docs/maintenance.md. It needs a block fleet.
# maintenance {
#   drain = "/usr/local/lib/mintkeel/drain"
#   work  = "/usr/local/lib/mintkeel/work"
#   back  = "/usr/local/lib/mintkeel/back"
# }
