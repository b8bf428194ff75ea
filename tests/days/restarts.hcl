# A coordinator with a store is killed ten times in 24 s while workers crash, drain and fail; every rule is kept.
day {
  name   = "restarts"
  keeps  = true
  length = "28s"
  settle = "2s"
}
rules {
  drain_grace = "3s"
  unserved    = "2s"
  cold_for    = "4s"
  tip_after   = "1s"
}
zone "kariakoo" {}
zone "ubungo" {}
operation "refill-check" {
  effect              = "idempotent"
  share               = 2
  work                = "120ms"
  latency_objective   = "1s"
  integration_timeout = "2s"
}
operation "place-order" {
  effect              = "side-effecting"
  share               = 1
  work                = "120ms"
  latency_objective   = "1s"
  integration_timeout = "2s"
  billed_value        = 3
}
coordinator "pwani-1" { zone = "kariakoo" }
coordinator "pwani-2" { zone = "ubungo" }
workers "kariakoo" {
  zone  = "kariakoo"
  count = 3
}
workers "ubungo" {
  zone  = "ubungo"
  count = 3
}
clients "kariakoo" {
  zone        = "kariakoo"
  count       = 6
  rate        = 2.5
  by_address  = 0.3
  disobedient = 1
}
clients "ubungo" {
  zone  = "ubungo"
  count = 6
  rate  = 2.5
}
forwarders "kariakoo" {
  zone    = "kariakoo"
  count   = 2
  clients = 3
  rate    = 2
}
forwarders "ubungo" {
  zone       = "ubungo"
  count      = 2
  clients    = 3
  rate       = 2
  two_choice = true
}
trouble "crash" {
  kind  = "crash"
  zone  = "kariakoo"
  at    = "4s"
  lasts = "4s"
  count = 1
}
trouble "drain" {
  kind  = "drain"
  zone  = "ubungo"
  at    = "6s"
  lasts = "12s"
  count = 1
}
trouble "errors" {
  kind  = "errors"
  zone  = "kariakoo"
  at    = "9s"
  lasts = "14s"
  count = 1
}
kill "pwani-1" {
  at    = "3s"
  lasts = "400ms"
  times = 10
  every = "2200ms"
}
