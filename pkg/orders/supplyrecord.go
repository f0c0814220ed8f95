package orders

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
	"amaranthplank.example/amaranthplank/pkg/ident"
	"amaranthplank.example/amaranthplank/pkg/lease"
)

// SupplyRecord is the journal's entry for one group: its newest order to the
// platform. While the record is open, the order is repeated with the same ID and
// content, and no other one is started.
type SupplyRecord struct {
	// Order has the fencing token of the holder that wrote last.
	Order external.TargetOrder `json:"order"`
	// Open is set until the platform has accepted the order.
	Open      bool         `json:"open"`
	Duty      ident.Duty   `json:"duty"`
	Writer    lease.Writer `json:"writer"`
	WrittenAt time.Time    `json:"writtenAt"`
	version   external.Version
}
