# 5 controllers share 150 forwarders and 300 workers in three zones: for `gorsemount simulate --faults`.
day {
  name   = "fleet-300"
  length = "30s"
  settle = "3s"
  shared = true
  lease  = "1s"
  churn  = "2s"
}
rules {
  drain_grace      = "5s"
  unserved         = "3s"
  cold_for         = "8s"
  tip_after        = "2s"
  backlog          = 60000
  lines_per_second = 60000
}
zone "kariakoo" {}
zone "ubungo" {}
zone "mbagala" {}
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
coordinator "pwani-3" { zone = "mbagala" }
coordinator "pwani-4" { zone = "kariakoo" }
coordinator "pwani-5" { zone = "ubungo" }
workers "kariakoo" {
  zone  = "kariakoo"
  count = 100
}
workers "ubungo" {
  zone  = "ubungo"
  count = 100
}
workers "mbagala" {
  zone  = "mbagala"
  count = 100
}
clients "kariakoo" {
  zone  = "kariakoo"
  count = 10
  rate  = 2
}
forwarders "kariakoo" {
  zone    = "kariakoo"
  count   = 50
  clients = 50
  rate    = 4
}
forwarders "ubungo" {
  zone    = "ubungo"
  count   = 50
  clients = 50
  rate    = 4
}
forwarders "mbagala" {
  zone       = "mbagala"
  count      = 50
  clients    = 50
  rate       = 4
  two_choice = true
}
trouble "crash" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "9500ms"
  lasts = "6s"
  count = 30
}
trouble "errors" {
  kind  = "errors"
  zone  = "mbagala"
  at    = "10s"
  lasts = "8s"
  count = 10
  part  = 1
}
