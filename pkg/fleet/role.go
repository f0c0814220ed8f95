package fleet

// Role tells which part of model requests an engine takes.
type Role string

// The roles.
const (
	// Mixed engines take whole requests.
	Mixed Role = "mixed"
	// Prefill engines compute prompts and hand the KV cache on.
	Prefill Role = "prefill"
	// Decode engines take over after the prompt.
	Decode Role = "decode"
)
