package entry

import "strconv"

// attemptID returns the id of the call's current attempt. Targets return it in
// their responses, so that a response to an earlier attempt is not mistaken for
// one to the current attempt.
func attemptID(c *call) string { return c.id + "." + strconv.Itoa(c.attempts) }
