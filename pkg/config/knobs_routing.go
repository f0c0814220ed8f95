package config

// RoutingKnobs control the choice of a target.
type RoutingKnobs struct {
	// ViewMaxAge is how old the last known state of a target may be before the
	// target gets no new work.
	ViewMaxAge Duration `json:"viewMaxAge" default:"5s" unit:"duration" min:"1s" max:"1m"`
	// ReportMaxAge is how old a load report may be before the engine's load is
	// estimated only from this daemon's own outstanding requests.
	ReportMaxAge Duration `json:"reportMaxAge" default:"10s" unit:"duration" min:"1s" max:"10m"`
	// NearEqual is the difference in expected time within which engines count
	// as equal and one of them is chosen at random.
	NearEqual Duration `json:"nearEqual" default:"40ms" unit:"duration" min:"0s" max:"10s"`
	// PrefillWeight is the weight of a second of prefill relative to a second
	// of waiting. Prefill delays the requests queued behind it and evicts other
	// prompts from the KV cache.
	PrefillWeight float64 `json:"prefillWeight" default:"12" unit:"ratio" min:"0" max:"100"`
	// InterferenceWeight is the additional weight of a second of prefill for
	// each answer that the engine generates at the same time.
	InterferenceWeight float64 `json:"interferenceWeight" default:"0" unit:"ratio" min:"0" max:"10"`
	// Patience is the longest expected wait at an engine, as a share of the
	// route's time to the first part. A request that would wait longer is
	// refused immediately; zero sets no limit.
	Patience float64 `json:"patience" default:"0" unit:"ratio" min:"0" max:"100"`
	// MixedPromptLimit is the maximum number of uncached prompt tokens of a
	// request for which one engine both computes the prompt and generates the
	// answer while dedicated prefill engines are available.
	MixedPromptLimit int64 `json:"mixedPromptLimit" default:"1000000" unit:"tokens" min:"0" max:"1000000"`
	// UnseenAge is the age of a load report at which each other daemon is
	// assumed to have sent the engine as many requests since the report as this
	// daemon. For a newer report it is assumed to have sent proportionally fewer.
	UnseenAge Duration `json:"unseenAge" default:"5s" unit:"duration" min:"1ms" max:"1h"`
	// CrowdWeight is the penalty of a full batch as a share of the answer's
	// decode time, so that engines fill evenly before any runs out of slots.
	CrowdWeight float64 `json:"crowdWeight" default:"0.25" unit:"ratio" min:"0" max:"10"`
	// AffinityBlocks is how many leading blocks of a prompt form the affinity key.
	// Rendezvous hashing of the key selects the prompt's home engine among those
	// that accept new work and compute prompts; prompts with fewer blocks have none.
	AffinityBlocks int64 `json:"affinityBlocks" default:"4" unit:"blocks" min:"1" max:"64"`
	// AffinityCredit is the share of a prompt that its home engine is assumed to
	// have cached while the index shows no part of the prompt in any engine.
	AffinityCredit float64 `json:"affinityCredit" default:"0.5" unit:"ratio" min:"0" max:"1"`
	// StaleCredit is the share of an engine's indexed cache that is relied on
	// after a gap in the engine's events.
	StaleCredit float64 `json:"staleCredit" default:"0.9" unit:"ratio" min:"0" max:"1"`
	// PrefillRate is the assumed prefill rate of an engine that reports no
	// rates, MixedPrefillShare the share of it that remains on an engine that
	// also generates answers, and DecodeRate the assumed rate of one answer.
	PrefillRate       float64 `json:"prefillRate" default:"8000" unit:"tokens/s" min:"1" max:"1000000000"`
	MixedPrefillShare float64 `json:"mixedPrefillShare" default:"1" unit:"ratio" min:"0.01" max:"1"`
	DecodeRate        float64 `json:"decodeRate" default:"30" unit:"tokens/s" min:"0.01" max:"1000000"`
	// PromptMemory is how long an engine that reports nothing about its cache
	// is assumed to keep a prompt that it was sent; zero assumes no caching.
	PromptMemory Duration `json:"promptMemory" default:"0s" unit:"duration" min:"0s" max:"1h"`
	// DomainPenalty is the added cost of a target in another failure domain.
	DomainPenalty Duration `json:"domainPenalty" default:"4ms" unit:"duration" min:"0s" max:"1s"`
	// ReclaimablePenalty is the added cost of a reclaimable target for an
	// interactive request, and DependablePenalty that of a dependable target
	// for a deferrable request.
	ReclaimablePenalty Duration `json:"reclaimablePenalty" default:"20ms" unit:"duration" min:"0s" max:"1m"`
	DependablePenalty  Duration `json:"dependablePenalty" default:"1s" unit:"duration" min:"0s" max:"1m"`
	// FetchLeast is the minimum length of a prompt part, in tokens, that an
	// engine fetches from another engine's cache instead of computing it; zero
	// disables fetching.
	FetchLeast int64 `json:"fetchLeast" default:"0" unit:"tokens" min:"0" max:"10000000"`
	// FetchRate is the assumed rate of a fetch. It is set below what the links
	// carry, so that a prompt stays on few engines.
	FetchRate float64 `json:"fetchRate" default:"200000" unit:"tokens/s" min:"1" max:"1000000000"`
	// MoveRate is the rate at which KV cache moves between engines.
	MoveRate float64 `json:"moveRate" default:"200000" unit:"tokens/s" min:"1" max:"1000000000"`
	// MoveSetup is the fixed cost of a move of KV cache. It keeps short
	// prompts on the engine that generates their answers.
	MoveSetup Duration `json:"moveSetup" default:"0s" unit:"duration" min:"0s" max:"1m"`
	// OutlierErrors is how many consecutive failures eject a service's replica.
	OutlierErrors int64 `json:"outlierErrors" default:"3" unit:"failures" min:"1" max:"1000"`
	// OutlierPause is how long an ejected replica gets no new work.
	OutlierPause Duration `json:"outlierPause" default:"5s" unit:"duration" min:"100ms" max:"10m"`
	// OutlierShare limits the share of a service's replicas that may be ejected.
	OutlierShare float64 `json:"outlierShare" default:"0.34" unit:"ratio" min:"0" max:"1"`
}
