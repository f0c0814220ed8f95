package retry

// CancelAttempt takes back the count of an attempt that was begun and then withheld,
// so that it sent nothing and cost its target nothing.
func (c *Controller) CancelAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = max(0, c.attempts-1)
}
