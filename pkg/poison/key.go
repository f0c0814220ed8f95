package poison

import "amaranthplank.example/amaranthplank/pkg/request"

// Kind is what a key of the evidence identifies.
type Kind uint8

const (
	// PartKind identifies a part of prompts, by its hash.
	PartKind Kind = iota
	// RequestKind identifies a request that comes again, by its fingerprint.
	RequestKind
	// kinds is the number of kinds.
	kinds
)

// String returns the kind's name, which metrics and logs use.
func (k Kind) String() string {
	names := [kinds]string{"part", "request"}
	return names[k]
}

// Key identifies what may crash targets.
type Key struct {
	Kind Kind
	Hash uint64
}

// partKey returns the key of a part of prompts.
func partKey(part uint64) Key { return Key{Kind: PartKind, Hash: part} }

// requestKey returns the key of a request.
func requestKey(fingerprint uint64) Key { return Key{Kind: RequestKind, Hash: fingerprint} }

// name returns the key's hash for the log.
func (k Key) name() string { return request.Fingerprint(k.Hash).String() }

// keys returns the keys of what was lost at a crash.
func (c *Crash) keys() []Key { return keysOf(c.Lost, c.Requests) }

// keysOf returns the keys of prompts' parts and of requests.
func keysOf(lost []Prompt, requests []uint64) []Key {
	var keys []Key
	for _, prompt := range lost {
		for _, part := range prompt.Parts {
			keys = append(keys, partKey(part))
		}
	}
	for _, fingerprint := range requests {
		keys = append(keys, requestKey(fingerprint))
	}
	return keys
}
