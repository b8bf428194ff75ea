# Which refill workers there are. The file is read again when it changes; a bad one changes nothing.
backend "kariakoo-1" {
  zone    = "kariakoo"
  address = "127.0.0.1:9001"
}
backend "mikocheni-1" {
  zone    = "mikocheni"
  address = "127.0.0.1:9002"
  weight  = 1.5
}
backend "ubungo-1" {
  zone    = "ubungo"
  address = "127.0.0.1:9003"
  state   = "draining"
}
