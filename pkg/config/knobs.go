package config

// Knobs are the values that defaults and exceptions set. Every field of the
// sections bears its built-in value, unit and range as struct tags, which the
// checks and the operators' pages are made from.
type Knobs struct {
	Admission AdmissionKnobs `json:"admission"`
	Routing   RoutingKnobs   `json:"routing"`
	Retry     RetryKnobs     `json:"retry"`
	Roles     RoleKnobs      `json:"roles"`
	Supply    SupplyKnobs    `json:"supply"`
	Usage     UsageKnobs     `json:"usage"`
	Burn      BurnKnobs      `json:"burn"`
}
