package rolekeeper

import (
	"amaranthplank.example/amaranthplank/pkg/fleet"
	"amaranthplank.example/amaranthplank/pkg/ident"
)

// NoticeRecorder returns a function that records what the present incarnation of a
// target states about itself. It is called before a call to the target, so that the
// answer of an incarnation that has ended since is not taken for that of the next.
type NoticeRecorder func(target ident.Target) func(notice fleet.TargetNotice)

// NoticeSource is implemented by an Orderer whose targets state something about
// themselves in their answers.
type NoticeSource interface {
	// RecordNotices sets where the notices are recorded.
	RecordNotices(recorder NoticeRecorder)
}
