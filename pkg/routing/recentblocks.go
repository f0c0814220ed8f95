package routing

import "time"

// recentBlocks holds the prompt blocks that an engine was sent recently, by this
// daemon and those that report to it. It is used for engines that don't report
// what they cache. The engine may have evicted some of the blocks since, and may
// also hold blocks from daemons that don't report.
type recentBlocks struct {
	blocks map[uint64]sentBlock
	// sweptAt is when expired blocks were last removed.
	sweptAt time.Time
}

// sentBlock is a block that an engine was sent.
type sentBlock struct {
	// sentAt is when the block was last sent, computedAt when the engine is
	// expected to have first computed it.
	sentAt, computedAt time.Time
}

// add records blocks that the engine is sent and is expected to have computed
// after promptTime.
func (r *recentBlocks) add(blocks []uint64, now time.Time, promptTime, retention time.Duration) {
	if retention <= 0 {
		return
	}
	if r.blocks == nil {
		r.blocks = make(map[uint64]sentBlock)
	}
	if now.Sub(r.sweptAt) > retention {
		r.sweep(now, retention)
	}
	for _, block := range blocks {
		sent, ok := r.blocks[block]
		if !ok || now.Sub(sent.sentAt) > retention {
			sent.computedAt = now.Add(promptTime)
		}
		sent.sentAt = now
		r.blocks[block] = sent
	}
}

// sweep removes expired blocks.
func (r *recentBlocks) sweep(now time.Time, retention time.Duration) {
	r.sweptAt = now
	for block, sent := range r.blocks {
		if now.Sub(sent.sentAt) > retention {
			delete(r.blocks, block)
		}
	}
}

// depth returns how many leading blocks of a prompt the engine was sent
// recently. Those that it has not computed yet will be computed before it
// starts a prompt that is sent later.
func (r *recentBlocks) depth(blocks []uint64, now time.Time, retention time.Duration) int {
	return r.longestPrefix(blocks, func(sent sentBlock) bool { return now.Sub(sent.sentAt) <= retention })
}

// computedDepth returns how many leading blocks of a prompt the engine has
// computed, so that another engine can fetch them.
func (r *recentBlocks) computedDepth(blocks []uint64, now time.Time, retention time.Duration) int {
	return r.longestPrefix(blocks, func(sent sentBlock) bool { return now.Sub(sent.sentAt) <= retention && !sent.computedAt.After(now) })
}

// longestPrefix returns the length of the longest prefix of the blocks whose
// last block matches. The hash of that block covers the blocks before it.
func (r *recentBlocks) longestPrefix(blocks []uint64, match func(sent sentBlock) bool) int {
	if len(r.blocks) == 0 {
		return 0
	}
	for n := len(blocks); n > 0; n-- {
		if sent, ok := r.blocks[blocks[n-1]]; ok && match(sent) {
			return n
		}
	}
	return 0
}
