package routing

import "time"

// recent remembers the prompt blocks that an engine was sent a short while ago,
// for engines that do not tell what they hold. The engine may have dropped some
// since, and holds those of other daemons besides.
type recent struct {
	blocks map[uint64]sentBlock
	// sweptAt is when old blocks were last dropped.
	sweptAt time.Time
}

// sentBlock is one block that an engine was sent.
type sentBlock struct {
	// at is when it was sent last, computed when the engine is expected to have
	// computed it first.
	at, computed time.Time
}

// add notes blocks that the engine is sent and is expected to have computed after
// some time.
func (r *recent) add(blocks []uint64, now time.Time, takes, keep time.Duration) {
	if keep <= 0 {
		return
	}
	if r.blocks == nil {
		r.blocks = make(map[uint64]sentBlock)
	}
	if now.Sub(r.sweptAt) > keep {
		r.sweep(now, keep)
	}
	for _, block := range blocks {
		sent, ok := r.blocks[block]
		if !ok || now.Sub(sent.at) > keep {
			sent.computed = now.Add(takes)
		}
		sent.at = now
		r.blocks[block] = sent
	}
}

// sweep drops the blocks that are too old.
func (r *recent) sweep(now time.Time, keep time.Duration) {
	r.sweptAt = now
	for block, sent := range r.blocks {
		if now.Sub(sent.at) > keep {
			delete(r.blocks, block)
		}
	}
}

// depth returns how many leading blocks of a prompt the engine was sent lately.
// What it has not computed yet it will have before it begins with a prompt that
// comes later.
func (r *recent) depth(blocks []uint64, now time.Time, keep time.Duration) int {
	return r.find(blocks, func(sent sentBlock) bool { return now.Sub(sent.at) <= keep })
}

// computed returns how many leading blocks of a prompt the engine has computed, so
// that another can fetch them.
func (r *recent) computed(blocks []uint64, now time.Time, keep time.Duration) int {
	return r.find(blocks, func(sent sentBlock) bool { return now.Sub(sent.at) <= keep && !sent.computed.After(now) })
}

// find returns how many leading blocks of a prompt end with one that counts.
func (r *recent) find(blocks []uint64, counts func(sent sentBlock) bool) int {
	if len(r.blocks) == 0 {
		return 0
	}
	for n := len(blocks); n > 0; n-- {
		if sent, ok := r.blocks[blocks[n-1]]; ok && counts(sent) {
			return n
		}
	}
	return 0
}
