# An annotated operator file. Name it with --operator FILE or DUNLINSPREAD_OPERATOR; `dunlinspread check` reads it and
# prints what is in force. Every block may be left out, and what is left out is off or has the value shown here.

# The daemon's log, on standard error.
log {
  # "text": lines for people; "json": one object a line. --log-format overrides it.
  format = "text"
  # The least important lines written: "error", "warning" or "info".
  level = "info"
}
