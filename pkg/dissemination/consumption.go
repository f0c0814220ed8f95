package dissemination

import (
	"encoding/binary"

	"amaranthplank.example/amaranthplank/pkg/ident"
)

// Consumption is what a workspace has consumed.
type Consumption struct {
	// Requests counts admitted requests, Tokens prompt and output tokens.
	Requests uint64
	Tokens   uint64
}

// Sum is a workspace's cumulative consumption.
type Sum struct {
	Workspace   ident.Workspace
	Consumption Consumption
}

// tokensPerRequest is the weight of a request, in tokens, when changes are
// compared.
const tokensPerRequest = 256

// plus returns the sum of two consumptions.
func (c Consumption) plus(other Consumption) Consumption {
	return Consumption{c.Requests + other.Requests, c.Tokens + other.Tokens}
}

// minus returns the rise from an earlier consumption; a count that fell yields zero.
func (c Consumption) minus(earlier Consumption) Consumption {
	return Consumption{c.Requests - min(c.Requests, earlier.Requests), c.Tokens - min(c.Tokens, earlier.Tokens)}
}

// weight returns the weight of a change in tokens.
func (c Consumption) weight() uint64 { return c.Tokens + tokensPerRequest*c.Requests }

// encode returns the consumption as an item's value.
func (c Consumption) encode() []byte {
	return binary.AppendUvarint(binary.AppendUvarint(nil, c.Requests), c.Tokens)
}

// decodeConsumption reads an item's value, or returns false for a malformed one.
func decodeConsumption(value []byte) (Consumption, bool) {
	requests, n := binary.Uvarint(value)
	if n <= 0 {
		return Consumption{}, false
	}
	tokens, m := binary.Uvarint(value[n:])
	return Consumption{requests, tokens}, m > 0
}
