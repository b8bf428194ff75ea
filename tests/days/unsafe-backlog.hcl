# The auditor's backlog limit is lower than the coordinators' setting, so their messages must violate it.
day {
  name   = "unsafe-backlog"
  length = "5s"
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
  disobedient = 0
}
clients "ubungo" {
  zone  = "ubungo"
  count = 6
  rate  = 2.5
}
unsafe { backlog_judged = 3 }
