# Month end at the refill workers: traffic rises, workers crash and hang, one drains, a whole site fails and comes
# back cold, and a coordinator is killed and restarted. `gorsemount day examples/month-end.hcl` plays it.

day {
  name   = "month end"
  seed   = 7
  length = "48s"
}

zone "kariakoo" {}
zone "mikocheni" {}
zone "ubungo" {}

operation "refill-check" {
  effect              = "idempotent"
  share               = 48
  work                = "270ms"
  latency_objective   = "1500ms"
  integration_timeout = "4s"
  billed_value        = 2
}
operation "stock-lookup" {
  effect              = "idempotent"
  share               = 28
  work                = "270ms"
  latency_objective   = "1200ms"
  integration_timeout = "3s"
  billed_value        = 1
}
operation "place-order" {
  effect              = "side-effecting"
  share               = 24
  work                = "270ms"
  latency_objective   = "1200ms"
  integration_timeout = "3s"
  billed_value        = 3
}

rules {
  drain_grace  = "5s"
  unserved     = "3s"
  cold_from    = 0.18
  cold_for     = "10s"
  tip_multiple = 4
  tip_after    = "2s"
}

coordinator "pwani-1" { zone = "kariakoo" }
coordinator "pwani-2" { zone = "mikocheni" }

workers "kariakoo" {
  zone  = "kariakoo"
  count = 6
  cores = 3
}
workers "mikocheni" {
  zone  = "mikocheni"
  count = 5
  cores = 3
}
workers "ubungo" {
  zone  = "ubungo"
  count = 5
  cores = 3
}

# A few keep answers ten times as long as they may; some look up addresses in place of SRV records.
clients "kariakoo" {
  zone        = "kariakoo"
  count       = 16
  rate        = 1.3
  by_address  = 0.25
  disobedient = 1
}
clients "mikocheni" {
  zone        = "mikocheni"
  count       = 12
  rate        = 1.3
  by_address  = 0.25
  disobedient = 1
}
clients "ubungo" {
  zone       = "ubungo"
  count      = 12
  rate       = 1.3
  by_address = 0.25
}

# Twelve forwarders, each driven by its runtime socket, with callers of their own.
forwarders "kariakoo" {
  zone       = "kariakoo"
  count      = 4
  clients    = 4
  rate       = 1.3
  two_choice = true
}
forwarders "mikocheni" {
  zone       = "mikocheni"
  count      = 4
  clients    = 4
  rate       = 1.3
  two_choice = true
}
forwarders "ubungo" {
  zone       = "ubungo"
  count      = 4
  clients    = 4
  rate       = 1.3
  two_choice = true
}

phase "morning" { at = "0s" }
phase "rush" {
  at   = "8s"
  rate = 1.4
}
phase "site lost" {
  at   = "24s"
  rate = 1.2
}
phase "evening" {
  at   = "36s"
  rate = 1
}

trouble "crash" {
  kind  = "crash"
  zone  = "kariakoo"
  at    = "9s"
  lasts = "5s"
  part  = 0.25
}
trouble "hang" {
  kind  = "hang"
  zone  = "mikocheni"
  at    = "12s"
  lasts = "8s"
  count = 2
}
trouble "drain" {
  kind  = "drain"
  zone  = "mikocheni"
  at    = "16s"
  lasts = "16s"
  count = 1
}
trouble "site" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "24s"
  lasts = "5s"
  part  = 1
}

trouble "streams" {
  kind  = "streams"
  at    = "14s"
  lasts = "1s"
  part  = 0.7
}
trouble "forwarder" {
  kind  = "forwarder_restart"
  zone  = "mikocheni"
  at    = "34s"
  lasts = "1s"
  count = 2
}

kill "pwani-1" {
  at    = "20s"
  lasts = "3s"
}
