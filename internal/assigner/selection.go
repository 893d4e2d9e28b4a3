package assigner

import (
	"context"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
	"github.com/chivespool/chivespool/internal/pacer"
	"github.com/chivespool/chivespool/internal/placer"
)

// choose looks for an endpoint for a request in a phase.
func (assigner *Assigner) choose(ctx context.Context, endpoints []definer.Endpoint, request placer.Request, phase pacer.Phase) *placer.Selection {
	now := time.Now()
	selection := assigner.placer.Select(now, assigner.pacer, assigner.permitter, assigner.permitter.Candidates(now, endpoints), request, phase)
	for ctx.Err() == nil && selection.Next(time.Now()) {
		assigner.probeTier(ctx, selection, phase)
		selection.Compare(time.Now())
	}
	if ctx.Err() == nil {
		selection.End(time.Now())
	}
	assigner.meters.reuse(selection.Reused())
	return selection
}

// probeTier carries out the steps of a tier, all at once, and adds the reports that arrive
// in time.
func (assigner *Assigner) probeTier(ctx context.Context, selection *placer.Selection, phase pacer.Phase) {
	now := time.Now()
	assigner.mu.Lock()
	steps := selection.Plan(now)
	results, pending := make(chan *probe, len(steps)), 0
	for _, step := range steps {
		underWay := assigner.probes[step.Endpoint().Name()]
		switch {
		case step.Action() == pacer.Skip:
			assigner.meters.skip()
			continue
		case step.Action() == pacer.Reuse:
			continue // The selection has the report already.
		case step.Action() == pacer.Join && underWay != nil:
			underWay.subscribers = append(underWay.subscribers, results)
			assigner.meters.join()
		default:
			assigner.start(now, step.Endpoint(), results)
			assigner.meters.probe(selection.Purpose(), phase)
		}
		pending++
	}
	assigner.mu.Unlock()
	timer := time.NewTimer(tierTimeout)
	defer timer.Stop()
	for answered := false; pending > 0; pending-- {
		select {
		case probe := <-results:
			if probe.err != nil {
				continue
			}
			selection.Add(probe.endpoint, pacer.NewReading(probe.ticket, probe.report))
			if !answered {
				answered = true
				timer.Reset(tierGrace)
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
