package claims

// Hold is a claim of this daemon's that has not ended.
type Hold struct {
	shard *shard
	key   digest
	claim Claim
}

// Answered records the whole answer. One that is too large is not kept.
func (h *Hold) Answered(answer Answer) {
	claim := h.claim
	claim.State = Answered
	if len(answer.Body) <= MaxAnswerBytes {
		claim.Answer = &answer
	}
	h.shard.owe(operation{key: h.key, claim: claim, kind: settle})
}

// Unknown records that the request may have run.
func (h *Hold) Unknown() {
	claim := h.claim
	claim.State = Unknown
	h.shard.owe(operation{key: h.key, claim: claim, kind: settle})
}

// NotRun frees the key.
func (h *Hold) NotRun() {
	h.shard.owe(operation{key: h.key, claim: h.claim, kind: drop})
}
