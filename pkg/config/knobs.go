package config

// Knobs are the values that defaults and exceptions set. The struct tags of each
// section's fields give the built-in value, unit and range, from which the
// validation and the table in the operators' page are derived.
type Knobs struct {
	Admission AdmissionKnobs `json:"admission"`
	Routing   RoutingKnobs   `json:"routing"`
	Retry     RetryKnobs     `json:"retry"`
	Roles     RoleKnobs      `json:"roles"`
	Supply    SupplyKnobs    `json:"supply"`
	Usage     UsageKnobs     `json:"usage"`
	Burn      BurnKnobs      `json:"burn"`
}
