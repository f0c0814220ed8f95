package config

// RoutingKnobs steer the choice of a target.
type RoutingKnobs struct {
	// ViewMaxAge is how old the knowledge of a target may be before it gets
	// no new work.
	ViewMaxAge Duration `json:"viewMaxAge" default:"5s" unit:"duration" min:"1s" max:"1m"`
}
