# Three controllers share the forwarders; one is killed while it sends commands, one is suspended and resumed.
day {
  name   = "shared"
  length = "14s"
  settle = "2s"
  shared = true
  lease  = "1s"
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
coordinator "pwani-3" { zone = "ubungo" }
workers "kariakoo" {
  zone  = "kariakoo"
  count = 4
}
workers "ubungo" {
  zone  = "ubungo"
  count = 4
}
clients "kariakoo" {
  zone  = "kariakoo"
  count = 2
  rate  = 1
}
forwarders "kariakoo" {
  zone    = "kariakoo"
  count   = 4
  clients = 6
  rate    = 2
}
forwarders "ubungo" {
  zone       = "ubungo"
  count      = 4
  clients    = 6
  rate       = 2
  two_choice = true
}
trouble "crash" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "4s"
  lasts = "3s"
  count = 1
}
kill "pwani-1" {
  at    = "4100ms"
  lasts = "4s"
}
kill "pwani-2" {
  at    = "9s"
  lasts = "3s"
  pause = true
}
