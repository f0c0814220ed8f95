package dissemination

import (
	"encoding/binary"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Use is what a workspace has consumed.
type Use struct {
	// Requests counts admitted requests, Tokens prompt and output tokens.
	Requests uint64
	Tokens   uint64
}

// Sum is a workspace's cumulative use.
type Sum struct {
	Workspace ident.Workspace
	Use       Use
}

// tokensPerRequest is the weight of a request, in tokens, when changes are
// compared.
const tokensPerRequest = 256

// plus returns the sum of two uses.
func (u Use) plus(other Use) Use {
	return Use{u.Requests + other.Requests, u.Tokens + other.Tokens}
}

// minus returns the rise from an earlier use; a count that fell yields zero.
func (u Use) minus(earlier Use) Use {
	return Use{u.Requests - min(u.Requests, earlier.Requests), u.Tokens - min(u.Tokens, earlier.Tokens)}
}

// weight returns the weight of a change in tokens.
func (u Use) weight() uint64 { return u.Tokens + tokensPerRequest*u.Requests }

// encode returns the use as an item's value.
func (u Use) encode() []byte {
	return binary.AppendUvarint(binary.AppendUvarint(nil, u.Requests), u.Tokens)
}

// decodeUse reads an item's value, or returns false for a malformed one.
func decodeUse(value []byte) (Use, bool) {
	requests, n := binary.Uvarint(value)
	if n <= 0 {
		return Use{}, false
	}
	tokens, m := binary.Uvarint(value[n:])
	return Use{requests, tokens}, m > 0
}
