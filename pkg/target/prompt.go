package target

import (
	"github.com/cespare/xxhash/v2"

	"amaranthplank.example/amaranthplank/pkg/request"
)

const (
	// PromptBlockBytes is the length of the blocks in which prompts are hashed.
	PromptBlockBytes = request.PrefixBlockTokens * bytesPerToken
	// maxPromptBlocks bounds the number of hashes of one prompt.
	maxPromptBlocks = 1024
	// bytesPerToken is the estimated mean length of a token.
	bytesPerToken = 4
)

// BlockHashes returns the hashes of the prompt's successive blocks. Each hash covers
// the model and the prompt up to the end of its block. A last block that is not
// full is not hashed.
func (r *CompletionRequest) BlockHashes() []uint64 {
	hasher := &blockHasher{digest: xxhash.New()}
	_, _ = hasher.digest.WriteString(string(r.Model))
	r.eachPart(hasher.write)
	return hasher.blocks
}

// PromptTokens estimates the number of the prompt's tokens from its length.
func (r *CompletionRequest) PromptTokens() int {
	length := 0
	r.eachPart(func(part []byte) { length += len(part) })
	return (length + bytesPerToken - 1) / bytesPerToken
}

// eachPart calls f with the prompt's parts in order.
func (r *CompletionRequest) eachPart(f func([]byte)) {
	f(r.Prompt)
	for i := range r.Messages {
		f([]byte(r.Messages[i].Role))
		f(r.Messages[i].Content)
	}
}

// blockHasher hashes a prompt block by block.
type blockHasher struct {
	digest *xxhash.Digest
	// filled is the number of bytes in the current block.
	filled int
	blocks []uint64
}

// write hashes the next part of the prompt.
func (h *blockHasher) write(part []byte) {
	for len(part) > 0 && len(h.blocks) < maxPromptBlocks {
		n := min(len(part), PromptBlockBytes-h.filled)
		_, _ = h.digest.Write(part[:n])
		h.filled += n
		part = part[n:]
		if h.filled == PromptBlockBytes {
			h.blocks = append(h.blocks, h.digest.Sum64())
			h.filled = 0
		}
	}
}
