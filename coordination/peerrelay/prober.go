package peerrelay

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// probeInterval is the time between two looks for servers to probe.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// suspectProbes is the number of other servers that are probed at once when the link to a server is lost.
	suspectProbes = 2
	// silenceBeforeProbe is how long none of the exchanges in progress may receive anything before silenceProbes servers
	// are probed.
	silenceProbes      = 2
	silenceBeforeProbe = 200 * time.Millisecond
)

// Run probes servers until the context ends: those whose links are lost, to notice when they are back; others, to find
// out which links are lost; and one of those with an exchange in progress if all exchanges have become silent. It
// always returns nil.
func (sd *Sender) Run(ctx context.Context) error {
	subscription := timer.Every(sd.clock, probeInterval, func() { sd.startProbes(ctx) })
	<-ctx.Done()
	subscription.Stop()
	sd.probes.Wait()
	return nil
}

func (sd *Sender) startProbes(ctx context.Context) {
	if address, due := sd.links.nextProbe(); due {
		sd.startProbe(ctx, func(ctx context.Context) { sd.direct.probeConnection(ctx, address) })
	}
	suspect, others := sd.links.takeSuspects(suspectProbes)
	if suspect != "" {
		sd.startProbe(ctx, func(ctx context.Context) { sd.hasRestarted(ctx, suspect) })
	}
	others = append(others, sd.links.takeSilent(silenceBeforeProbe, silenceProbes)...)
	for _, address := range others {
		sd.startProbe(ctx, func(ctx context.Context) { sd.ProbeConnection(ctx, address) })
	}
	sd.startOutageProbes(ctx)
}

// startProbe runs a probe in the background.
func (sd *Sender) startProbe(ctx context.Context, probe func(context.Context)) {
	sd.probes.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		probe(ctx)
	})
}

// timerChannel returns a channel that is closed when a duration has passed, and a function that frees the timer.
func timerChannel(sd *Sender, wait time.Duration) (<-chan struct{}, func()) {
	passed, subscription := timer.Wait(sd.clock, max(0, wait))
	return passed, func() { subscription.Stop() }
}
