# Weights are fixed, so workers that return cold receive their full share at once.
day {
  name   = "unsafe-cold"
  length = "9s"
  settle = "2s"
}
rules {
  drain_grace  = "3s"
  unserved     = "2s"
  cold_for     = "8s"
  cold_from    = 0.05
  tip_after    = "1s"
  tip_multiple = 2
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
  rate        = 5
  by_address  = 0.3
  disobedient = 0
}
clients "ubungo" {
  zone  = "ubungo"
  count = 6
  rate  = 5
}
forwarders "kariakoo" {
  zone    = "kariakoo"
  count   = 2
  clients = 4
  rate    = 4
}
trouble "crash" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "1s"
  lasts = "1s"
  count = 3
}
unsafe { fixed_weights = true }
