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
