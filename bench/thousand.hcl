# A thousand workers in four sites: measures a coordinator's memory (see docs/dns.md).
day {
  name   = "thousand"
  length = "14s"
  settle = "1s"
}
zone "a" {}
zone "b" {}
zone "c" {}
zone "d" {}
operation "refill-check" {
  effect              = "idempotent"
  work                = "100ms"
  latency_objective   = "1s"
  integration_timeout = "3s"
}
coordinator "pwani-1" { zone = "a" }
workers "a" {
  zone  = "a"
  count = 250
}
workers "b" {
  zone  = "b"
  count = 250
}
workers "c" {
  zone  = "c"
  count = 250
}
workers "d" {
  zone  = "d"
  count = 250
}
clients "a" {
  zone  = "a"
  count = 20
  rate  = 5
}
clients "b" {
  zone  = "b"
  count = 20
  rate  = 5
}
