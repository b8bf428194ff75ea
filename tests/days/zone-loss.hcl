# One of three zones fails at month end and returns cold, with spillover by tiers; every rule is kept.
day {
  name   = "zone-loss"
  length = "30s"
  settle = "2s"
}
rules {
  spill       = true
  levels      = true
  drain_grace = "3s"
  unserved    = "2s"
  cold_for    = "4s"
  tip_after   = "1s"
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
coordinator "pwani-2" { zone = "ubungo" }
workers "kariakoo" {
  zone  = "kariakoo"
  count = 4
}
clients "kariakoo" {
  zone  = "kariakoo"
  count = 5
  rate  = 2
}
forwarders "kariakoo" {
  zone    = "kariakoo"
  count   = 2
  clients = 6
  rate    = 3
}
workers "ubungo" {
  zone  = "ubungo"
  count = 4
}
clients "ubungo" {
  zone  = "ubungo"
  count = 5
  rate  = 2
}
forwarders "ubungo" {
  zone    = "ubungo"
  count   = 2
  clients = 6
  rate    = 3
}
workers "mbagala" {
  zone  = "mbagala"
  count = 4
}
clients "mbagala" {
  zone  = "mbagala"
  count = 5
  rate  = 2
}
forwarders "mbagala" {
  zone    = "mbagala"
  count   = 2
  clients = 6
  rate    = 3
}
trouble "a zone goes" {
  kind  = "crash"
  zone  = "mbagala"
  at    = "11s"
  lasts = "5s"
  part  = 1
}
