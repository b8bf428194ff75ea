# One coordinator, 300 workers, 99 forwarders, 2,300 invocations a second: measures the speed of replays.
day {
  name   = "speed-300"
  length = "40s"
  settle = "3s"
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
  rate    = 14.7
}
forwarders "ubungo" {
  zone    = "ubungo"
  count   = 33
  clients = 50
  rate    = 14.7
}
forwarders "mbagala" {
  zone       = "mbagala"
  count      = 50
  clients    = 50
  rate       = 14.7
  two_choice = true
}
trouble "crash" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "5s"
  lasts = "3s"
  count = 5
}
trouble "drain" {
  kind  = "drain"
  zone  = "kariakoo"
  at    = "7s"
  lasts = "8s"
  count = 8
}
trouble "errors" {
  kind  = "errors"
  zone  = "mbagala"
  at    = "9s"
  lasts = "6s"
  count = 6
  part  = 1
}
