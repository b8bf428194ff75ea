# From 6 s on, a third of one zone's responses are errors; the coordinator is killed ten times within a minute.
day {
  name   = "ten-restarts-300"
  length = "110s"
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
  rate    = 6
}
forwarders "ubungo" {
  zone    = "ubungo"
  count   = 33
  clients = 50
  rate    = 6
}
forwarders "mbagala" {
  zone       = "mbagala"
  count      = 50
  clients    = 50
  rate       = 6
  two_choice = true
}
trouble "half of a zone's answers" {
  kind  = "errors"
  zone  = "mbagala"
  at    = "6s"
  lasts = "90s"
  part  = 0.3
}
kill "pwani-1" {
  at    = "20s"
  lasts = "1s"
  times = 10
  every = "6s"
}
