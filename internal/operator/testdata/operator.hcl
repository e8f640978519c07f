# deploy/operator.hcl with all blocks turned on, and each field that a block may have.

log {
  format = "json"
  level  = "warn"
  burst  = 30
  every  = "2s"
}

rule "menu marts are hot" {
  when   = "tenant == 'acme' && table_name startswith 'menu_'"
  hot    = true
  labels = { team = "tenant" }
}

rule "one table after another" {
  when = "tenant == 'acme'"
  key  = "'table/' + table_name"
}

rule "long lookups are reports" {
  when          = "profile == 'lookup' && estimate > 5s"
  profile       = "report"
  kinds         = ["c16"]
  zones         = ["east"]
  most_estimate = "90s"
  last          = true
}

rule "no secrets" {
  when   = "table_name == 'secrets'"
  refuse = "not this table"
}

memory {
  folder = "/var/lib/mintkeel/n3"
  pace   = "4s"
}

fleet {
  name       = "east"
  generation = 3
  listen     = "10.0.0.4:9443"
  advertise  = "192.0.2.4:9443"
  key_file   = "/etc/mintkeel/fleet.key"
  folder     = "/var/lib/mintkeel/n4/fleet"
  council    = { n1 = "10.0.0.1:9443", n2 = "10.0.0.2:9443", n3 = "10.0.0.3:9443" }
  works      = ["digest", "plan"]
  lease      = "9s"
  willing    = false
}

config {
  wait = "4s"
}

maintenance {
  drain   = "/usr/local/lib/mintkeel/drain"
  work    = "/usr/local/lib/mintkeel/work"
  back    = "/usr/local/lib/mintkeel/back"
  within  = "5m"
  prepare = "40s"
  list    = false
}
