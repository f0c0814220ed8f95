package config

// RoutingKnobs steer the choice of a target.
type RoutingKnobs struct {
	// ViewMaxAge is how old the knowledge of a target may be before it gets
	// no new work.
	ViewMaxAge Duration `json:"viewMaxAge" default:"5s" unit:"duration" min:"1s" max:"1m"`
	// ReportMaxAge is how old a load report may be before its figures are
	// taken as those of an average engine.
	ReportMaxAge Duration `json:"reportMaxAge" default:"10s" unit:"duration" min:"1s" max:"10m"`
	// NearEqual is the spread of expected times within which engines count as
	// equal and one is drawn at random.
	NearEqual Duration `json:"nearEqual" default:"40ms" unit:"duration" min:"0s" max:"10s"`
	// PrefillWeight is how much a second of prefill counts beside a second of
	// waiting, since it delays the requests behind it and drives other prompts out of
	// the memory.
	PrefillWeight float64 `json:"prefillWeight" default:"12" unit:"ratio" min:"0" max:"100"`
	// InterferenceWeight is what a second of prefill counts for besides for each
	// answer that the engine generates meanwhile.
	InterferenceWeight float64 `json:"interferenceWeight" default:"0" unit:"ratio" min:"0" max:"10"`
	// Patience is the share of a route's time to the first part that a request
	// may wait at an engine; one that would wait longer is refused at once.
	// Zero lets it wait.
	Patience float64 `json:"patience" default:"0" unit:"ratio" min:"0" max:"100"`
	// MixedPromptLimit is the longest prompt, without what the engine holds,
	// that an engine computes beside its answers while others compute prompts
	// alone.
	MixedPromptLimit int64 `json:"mixedPromptLimit" default:"1000000" unit:"tokens" min:"0" max:"1000000"`
	// UnseenAge is the age of a report at which the other daemons' sends since
	// are fully reckoned, as many for each as this daemon's own.
	UnseenAge Duration `json:"unseenAge" default:"5s" unit:"duration" min:"1ms" max:"1h"`
	// CrowdWeight is how much of an answer's own time a full batch counts for,
	// so that engines fill evenly before any runs out of slots.
	CrowdWeight float64 `json:"crowdWeight" default:"0.25" unit:"ratio" min:"0" max:"10"`
	// AffinityBlocks is how many blocks of the prompt name its home engines.
	AffinityBlocks int64 `json:"affinityBlocks" default:"4" unit:"blocks" min:"1" max:"64"`
	// AffinityCredit is the share of a prompt that a home engine is taken to
	// hold while the index does not tell.
	AffinityCredit float64 `json:"affinityCredit" default:"0.5" unit:"ratio" min:"0" max:"1"`
	// StaleCredit is the share of what the index tells of an engine that is
	// counted on after a gap in its events.
	StaleCredit float64 `json:"staleCredit" default:"0.9" unit:"ratio" min:"0" max:"1"`
	// PrefillRate is how many prompt tokens an engine that tells no rate
	// computes, MixedPrefillShare the part of it where it also generates
	// answers, and DecodeRate how fast it generates one answer.
	PrefillRate       float64 `json:"prefillRate" default:"8000" unit:"tokens/s" min:"1" max:"1000000000"`
	MixedPrefillShare float64 `json:"mixedPrefillShare" default:"1" unit:"ratio" min:"0.01" max:"1"`
	DecodeRate        float64 `json:"decodeRate" default:"30" unit:"tokens/s" min:"0.01" max:"1000000"`
	// PromptMemory is how long an engine that tells nothing of its memory is
	// taken to hold a prompt that it was sent; zero counts on nothing.
	PromptMemory Duration `json:"promptMemory" default:"0s" unit:"duration" min:"0s" max:"1h"`
	// DomainPenalty is what a target in another failure domain costs.
	DomainPenalty Duration `json:"domainPenalty" default:"4ms" unit:"duration" min:"0s" max:"1s"`
	// ReclaimablePenalty is what a reclaimable target costs an interactive
	// request, and DependablePenalty what a dependable one costs a deferrable
	// request.
	ReclaimablePenalty Duration `json:"reclaimablePenalty" default:"20ms" unit:"duration" min:"0s" max:"1m"`
	DependablePenalty  Duration `json:"dependablePenalty" default:"1s" unit:"duration" min:"0s" max:"1m"`
	// FetchLeast is the least part of a prompt, in tokens, that an engine
	// fetches from one that holds it instead of computing it; zero never does.
	FetchLeast int64 `json:"fetchLeast" default:"0" unit:"tokens" min:"0" max:"10000000"`
	// FetchRate is how fast a part of a prompt is reckoned to be fetched. It is
	// below what links carry, so that prompts keep to few engines.
	FetchRate float64 `json:"fetchRate" default:"200000" unit:"tokens/s" min:"1" max:"1000000000"`
	// MoveRate is how fast KV cache moves between engines.
	MoveRate float64 `json:"moveRate" default:"200000" unit:"tokens/s" min:"1" max:"1000000000"`
	// MoveSetup is what a move of KV cache costs besides, so that short prompts
	// stay where their answers are generated.
	MoveSetup Duration `json:"moveSetup" default:"0s" unit:"duration" min:"0s" max:"1m"`
	// OutlierErrors is how many failures in a row eject a service's replica.
	OutlierErrors int64 `json:"outlierErrors" default:"3" unit:"failures" min:"1" max:"1000"`
	// OutlierPause is how long an ejected replica gets no new work.
	OutlierPause Duration `json:"outlierPause" default:"5s" unit:"duration" min:"100ms" max:"10m"`
	// OutlierShare bounds the share of a service's replicas that are ejected.
	OutlierShare float64 `json:"outlierShare" default:"0.34" unit:"ratio" min:"0" max:"1"`
}
