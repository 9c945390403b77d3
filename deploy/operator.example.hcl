# An annotated operator file. Name it with --operator FILE or DUNLINSPREAD_OPERATOR; `dunlinspread check` reads it and
# prints what is in force. Every block may be left out, and what is left out is off or has the value shown here.

# The daemon's log, on standard error.
log {
  # "text": lines for people; "json": one object a line. --log-format overrides it.
  format = "text"
  # The least important lines written: "error", "warning" or "info".
  level = "info"
}

# The ledger of use by society. Off without this block; it needs storage that survives. See docs/operators/ledger.md.
ledger "rounds" {
  # Where its store lies: a directory of its own, for one server, made if it is not there.
  directory = "/var/lib/dunlinspread/ledger"
  # The length of periods, aligned to Unix time (100ms to 31d), and how long after its end one is closed.
  period = "15m"
  grace  = "5s"
  # "strict": no answer leaves before its line is durable. "interval": lines are made durable every `interval`, and at
  # most `at_risk` answers are out before theirs is; a start after an unclean end states that number in a line.
  mode = "strict"
  # While the disk is full or fails. "refuse": take on nothing new, health is bad. "continue": serve on, count what is
  # not billed, and say so in a line once the disk is back.
  on_failure = "refuse"
  # Lines in one exported batch at most.
  batch_lines = 10000
  # How long lines are kept once they are exported (or closed, if nothing is exported).
  keep = "400d"
  # Where closed periods go: a folder, or `collector = "ADDRESS:PORT"`. Without it they stay in the store.
  # Other round servers, where they may talk: digests of exported batches are exchanged, and what disagrees is logged.
  # peers {
  #   listen = "10.0.0.4:7000"
  #   ask    = ["10.0.0.5:7000", "10.0.0.6:7000"]
  #   every  = "30s"
  # }
  export {
    folder = "/var/lib/dunlinspread/exports"
  }
}

# Configuration from the fleet's publisher: tenant allowances, routes and class limits, in force without a restart. Off
# without this block. See docs/operators/config-sync.md.
config_sync {
  # Where this server stands: relays of its own zone come first, then its region's, then any.
  zone   = "z3"
  region = "r1"
  # The fleet's key, 16 to 1,024 bytes, taken as they are in the file; the same for publisher, relays and servers.
  key_file = "/etc/dunlinspread/fleet.key"
  # Where the last good state is kept, a directory of its own: a restart serves with it at once. Without one, a restart
  # begins with what the platform says and takes what a relay has.
  state_directory = "/var/lib/dunlinspread/config"
  # The most tenants (the platform's among them) and routes; a change past them is refused.
  max_tenants = 1000000
  max_routes  = 200000
  # Whom to watch; at least one, up to 64. `zone` is left out for a region's relay, `region` is this server's by default.
  relay "r1-z3-a" {
    address = "127.0.0.1:7001"
    zone    = "z3"
  }
  relay "r1-a" {
    address = "127.0.0.1:7002"
  }
}
