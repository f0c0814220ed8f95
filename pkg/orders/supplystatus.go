package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// SupplyStatus is the status of one target order, for operators.
type SupplyStatus struct {
	Order  external.TargetOrder `json:"order"`
	Holder ident.Host           `json:"holder"`
	Open   bool                 `json:"open"`
	// Why is the latest error of the group's order.
	Why   string    `json:"why,omitempty"`
	Since time.Time `json:"since"`
}
