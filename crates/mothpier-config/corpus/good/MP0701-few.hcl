# The sidecar of the profiles app.
app = "profiles"
tenant = "silverlight"
nodes = 20
me = 3
zones = ["makati-dc"]
kinds = ["full-box", "slow-box"]

listen {
  address = "127.0.0.1:6379"
}

discovery {
  address = "127.0.0.1:8500"
}

limits {
  memory = "64 MiB"
  sockets = 276
  connections = 128
  open = 512
}

origin {
  kind = "origin"
  address = "10.2.0.1:80"
  outstanding = 80
  per_s = 400
}

cold {
  starts_at = 0.12
  warm_after = "21s"
  sends_at = 1.5
  falls_at = 3.0
  falls_after = "2s"
}

drain {
  grace = "500ms"
}

retries {
  attempts = 3
  copies = true
  connect_timeout = "120ms"
  idle_close = "60s"
}

class "browse" {
  effect = "safe"
  command = "read"
  default = true
  aim = "750ms"
  deadline = "1500ms"
  worth = 2
}

class "send-message" {
  effect = "unsafe"
  command = "write"
  aim = "300ms"
  deadline = "1s"
  worth = 8
}

class "send-interest" {
  effect = "keyed"
  command = "write"
  aim = "300ms"
  deadline = "600ms"
  worth = 3
  window = "3s"
}

quota "silverlight" {
  per_s = 150
}

box "pb7" {
  address = "10.1.0.7:6379"
  state = "ready"
}

box "pb8" {
  address = "10.1.0.8:6379"
  state = "ready"
}
