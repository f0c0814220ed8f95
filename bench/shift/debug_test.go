package shift

import "testing"

func TestDebug(t *testing.T) {
	d := deployments()[0]
	tr := traces(0.4)[0]
	r := newRun(d, tr, policyNamed("without roles"), seedOf)
	arr := generate(d, tr, seedOf, true)
	for s := 5; s < 120; s += 10 {
		r.sim.every(0, 1, 0, func() {})
		sec := s
		r.sim.at(secs(sec), func() {
			comp, run, q, pre := 0.0, 0, 0, 0.0
			wait := 0
			for _, e := range r.engines {
				e.advance()
				comp += e.computed
				run += len(e.running)
				for c := range e.waiting {
					q += len(e.waiting[c])
				}
				for _, j := range e.prefills {
					pre += j.left
				}
			}
			for _, d := range r.daemons {
				wait += d.queue.Waiting()
			}
			uniq, all := 0.0, 0.0
			for _, a := range arr {
				if a.at < secs(sec) && a.kind.service == "" {
					uniq += float64(a.req.PromptTokens - a.kind.shared)
					all += float64(a.req.PromptTokens)
				}
			}
			t.Logf("t=%d computed %.0fk ideal %.0fk whole %.0fk running %d queued %d prefillbacklog %.0f daemonwait %d", sec, comp/1000, uniq/1000, all/1000, run, q, pre, wait)
			s := ""
			for _, e := range r.engines {
				s += " " + itoa(len(e.running)) + "/" + itoa(len(e.prefills)) + "/" + itoa(len(e.waiting[1])) + "/" + itoa(len(e.waiting[2]))
			}
			t.Log(s)
		})
	}
	r.play(arr)
}
