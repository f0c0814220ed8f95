package fleet

// Role is the part of model requests that an engine takes.
type Role string

const (
	// Mixed engines take whole requests.
	Mixed Role = "mixed"
	// Prefill engines compute prompts and pass the KV cache on.
	Prefill Role = "prefill"
	// Decode engines take over after the prompt is computed.
	Decode Role = "decode"
)
