plan "kernel" {
  kinds   = ["c16"]
  zones   = ["hall-a"]
  engines = ["s-1"]
  before  = "2026-12-01T00:00:00Z"
  needs   = "20m"
  at_once = 2
  keep    = ["50% in hall-a", "3 c16"]
  not     = ["11:00-14:00"]
  by      = "2026-12-03T06:00:00Z"
  person  = true
}
