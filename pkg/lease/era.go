package lease

import (
	"time"

	"amaranthplank.example/amaranthplank/pkg/external"
)

// eraAge returns the store's era, and how long this process has known of it.
func (m *Manager) eraAge(now time.Duration) (external.Era, time.Duration) {
	era, _ := external.EraOf(m.opts.Store)
	m.mu.Lock()
	defer m.mu.Unlock()
	if era != m.era {
		m.era, m.eraSince = era, now
	}
	return era, now - m.eraSince
}

// eraWait returns how long another process may still hold the duty by a lease of an
// earlier era. A process that starts in a later era than the first can't know how long
// ago the store came back, and waits from its first answer.
func (c *campaign) eraWait(now time.Duration) time.Duration {
	era, age := c.manager.eraAge(now)
	if era == 0 || era == c.unbrokenEra {
		return 0
	}
	return c.manager.timing.EraDelay() - age
}

// noteRise records that the store's era rose while the duty was still held by the
// process's clock.
func (c *campaign) noteRise(lease *storeLease) {
	era, _ := external.EraOf(lease.store)
	if era != lease.era && lease.untilDeadline() > 0 {
		c.unbrokenEra = era
	}
}
