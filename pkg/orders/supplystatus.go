package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyStatus is one target order as operators see it.
type SupplyStatus struct {
	Order  external.TargetOrder `json:"order"`
	Holder ident.Host           `json:"holder"`
	Open   bool                 `json:"open"`
	// Why says what holds an open order back.
	Why   string    `json:"why,omitempty"`
	Since time.Time `json:"since"`
}
