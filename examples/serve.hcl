# A coordinator in kariakoo that answers for refill.pwani.test. `gorsemount explain-config` prints every value in
# force; docs/operating.md says what each one does.

coordinator {
  name         = "pwani-1"
  zone         = "kariakoo"
  coordinators = 2          # both serve all clients; they share nothing
  report_every = "500ms"
}

zone "kariakoo" {}
zone "mikocheni" {}
zone "ubungo" {}

operation "refill-check" {
  effect              = "idempotent"
  latency_objective   = "1500ms"
  integration_timeout = "4s"
  billed_value        = 2
}
operation "stock-lookup" {
  effect              = "idempotent"
  latency_objective   = "1200ms"
  integration_timeout = "3s"
  billed_value        = 1
}
operation "place-order" {
  effect              = "side-effecting"
  latency_objective   = "1200ms"
  integration_timeout = "3s"
  billed_value        = 3
}

rules {
  drain_grace  = "5s"
  cold_from    = 0.18
  cold_for     = "15s"
  tip_multiple = 4
}

dns {
  listen      = "127.0.0.1:5300"
  origin      = "refill.pwani.test"
  nameservers = ["ns1.refill.pwani.test"]
}

group "kariakoo-clinics" {
  zone       = "kariakoo"
  sources    = ["127.1.0.0/16"]
  usual_rate = 30
}
group "mikocheni-clinics" {
  zone       = "mikocheni"
  sources    = ["127.2.0.0/16"]
  usual_rate = 30
}

roster {
  file = "examples/roster.hcl"
}
