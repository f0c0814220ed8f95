package claims

// ActiveClaim is a claim that this daemon acquired for a request that has not ended.
type ActiveClaim struct {
	shard *shard
	key   digest
	claim Claim
}

// Answered records that the request was answered, and the response if its
// body has at most MaxResponseBytes.
func (c *ActiveClaim) Answered(response Response) {
	claim := c.claim
	claim.State = Answered
	if len(response.Body) <= MaxResponseBytes {
		claim.Response = &response
	}
	c.shard.enqueue(operation{key: c.key, claim: claim, kind: opSettle})
}

// Unknown records that the request may have run.
func (c *ActiveClaim) Unknown() {
	claim := c.claim
	claim.State = Unknown
	c.shard.enqueue(operation{key: c.key, claim: claim, kind: opSettle})
}

// NotRun releases the key, since the request was not run.
func (c *ActiveClaim) NotRun() {
	c.shard.enqueue(operation{key: c.key, claim: c.claim, kind: opRelease})
}
