package entry

import "strconv"

// attemptID is unique to one try of one request. Targets repeat it, so that
// an answer to an earlier try is never taken for the present one's.
func attemptID(c *call) string { return c.id + "." + strconv.Itoa(c.attempts) }
