# Commands are cut off at 50 seeded byte offsets, and each time their sender is killed.
day {
  name   = "cut-kill"
  length = "58s"
  settle = "2s"
  shared = true
  lease  = "300ms"
  churn  = "250ms"
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
cuts {
  count = 50
  every = "1100ms"
  lasts = "300ms"
}
