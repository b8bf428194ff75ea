# 24 hours with 300 workers, 116 forwarders and up to 2,300 invocations a second, to be replayed in windows.
day {
  name   = "long-day-300"
  length = "24h"
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
phase "night" {
  at   = "0s"
  rate = 0.3
}
phase "morning" {
  at   = "6h"
  rate = 0.8
}
phase "noon" {
  at   = "11h"
  rate = 1.0
}
phase "afternoon" {
  at   = "14h"
  rate = 0.9
}
phase "evening" {
  at   = "18h"
  rate = 0.7
}
phase "late" {
  at   = "22h"
  rate = 0.4
}
trouble "crash" {
  kind  = "crash"
  zone  = "ubungo"
  at    = "7h"
  lasts = "20s"
  count = 10
}
trouble "hang" {
  kind  = "hang"
  zone  = "kariakoo"
  at    = "9h"
  lasts = "60s"
  count = 6
}
trouble "drain" {
  kind  = "drain"
  zone  = "mbagala"
  at    = "10h"
  lasts = "300s"
  count = 20
}
trouble "errors" {
  kind  = "errors"
  zone  = "mbagala"
  at    = "12h"
  lasts = "90s"
  count = 8
  part  = 1
}
trouble "a zone goes" {
  kind  = "crash"
  zone  = "kariakoo"
  at    = "15h"
  lasts = "60s"
  part  = 1
}
trouble "slow" {
  kind  = "slow"
  zone  = "ubungo"
  at    = "20h"
  lasts = "200s"
  count = 12
  size  = 5
}
