# A whole zone fails at month end and returns cold.
day {
  name   = "zone-loss-300"
  length = "115s"
  settle = "3s"
}
rules {
  drain_grace      = "5s"
  unserved         = "3s"
  cold_for         = "8s"
  tip_after        = "2s"
  backlog          = 60000
  lines_per_second = 60000
  levels           = true
  spill            = true
}
zone "kariakoo" { near = ["ubungo"] }
zone "ubungo" { near = ["kariakoo"] }
zone "mbagala" { near = ["ubungo"] }
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
  count   = 33
  clients = 50
  rate    = 20
}
forwarders "ubungo" {
  zone    = "ubungo"
  count   = 33
  clients = 50
  rate    = 20
}
forwarders "mbagala" {
  zone       = "mbagala"
  count      = 50
  clients    = 50
  rate       = 20
  two_choice = true
}
trouble "a zone goes" {
  kind  = "crash"
  zone  = "mbagala"
  at    = "60s"
  lasts = "15s"
  part  = 1
}
