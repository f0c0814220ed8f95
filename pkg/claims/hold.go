package claims

// Hold is a claim acquired by this daemon whose request has not ended.
type Hold struct {
	shard *shard
	key   digest
	claim Claim
}

// Answered records that the request was answered, and the answer itself if its
// body has at most MaxAnswerBytes.
func (h *Hold) Answered(answer Answer) {
	claim := h.claim
	claim.State = Answered
	if len(answer.Body) <= MaxAnswerBytes {
		claim.Answer = &answer
	}
	h.shard.enqueue(operation{key: h.key, claim: claim, kind: opSettle})
}

// Unknown records that the request may have run.
func (h *Hold) Unknown() {
	claim := h.claim
	claim.State = Unknown
	h.shard.enqueue(operation{key: h.key, claim: claim, kind: opSettle})
}

// NotRun releases the key, since the request was not run.
func (h *Hold) NotRun() {
	h.shard.enqueue(operation{key: h.key, claim: h.claim, kind: opRelease})
}
