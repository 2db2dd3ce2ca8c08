package daemon

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
)

const (
	// handOverTimeout bounds handing tickets to the successor.
	handOverTimeout = 2 * time.Second
	// idlePoll is how often a stopping daemon looks whether it is idle.
	idlePoll = 20 * time.Millisecond
	// leaveGrace is how long peers get to move their requests to other gateways.
	leaveGrace = 500 * time.Millisecond
)

// Stop starts a planned stop; Run returns when it is complete.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// Kill ends the daemon at once, as a crash does.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.listeners.close()
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.linker.Close()
	d.scheduler.Close()
}

// awaitStop carries out a planned stop: not ready, leave the balancer, hand
// tickets over, leave the membership, finish what is in flight.
func (d *Daemon) awaitStop(ctx context.Context) error {
	select {
	case <-d.stop:
	case <-ctx.Done():
		return nil
	}
	klog.InfoS("daemon is stopping", "name", d.settings.Name)
	d.stopping.Store(true)
	scheduler.Sleep(ctx, time.Duration(d.settings.Shutdown.ReadinessDelay))
	finish, cancel := context.WithTimeout(ctx, time.Duration(d.settings.Shutdown.DrainTimeout))
	defer cancel()
	successor := d.handOver(finish)
	d.announceLeave(successor)
	// Finishes every caller's request in flight; new connections are refused.
	_ = d.callers.Shutdown(finish)
	awaitIdle(finish, d.onceActive.Load)
	d.amend(finish, successor)
	d.announceLeave(successor)
	close(d.leaving)
	scheduler.Sleep(finish, leaveGrace)
	d.sender.StopAccepting()
	awaitIdle(finish, d.sender.Active)
	// What peers sent before they heard of the stop is refused as not run.
	scheduler.Sleep(finish, leaveGrace)
	klog.InfoS("daemon is idle", "name", d.settings.Name, "successor", successor)
	return nil
}

// awaitIdle waits until nothing is active.
func awaitIdle(ctx context.Context, active func() int64) {
	for active() > 0 && ctx.Err() == nil {
		scheduler.Sleep(ctx, idlePoll)
	}
}

// handOver closes all tickets for good and gives them to one successor: the
// daemon's own, and those it took over from others. It returns an empty string
// if there is no successor or it did not confirm: then the tickets answer
// unknown, and no other successor is ever tried.
func (d *Daemon) handOver(ctx context.Context) string {
	successor := d.successor()
	for incarnation, table := range d.tables() {
		closed, ok := table.Close(time.Now())
		if !ok || successor == "" {
			continue
		}
		hops := d.news.hops(incarnation) + 1
		if err := d.sendHandOver(ctx, successor, closed, hops); err != nil {
			klog.ErrorS(err, "tickets were not handed over; they answer unknown", "successor", successor)
			successor = ""
			continue
		}
		d.news.note(incarnation, holding{holder: successor, hops: hops, since: time.Now()})
	}
	d.forwardTo.Store(&successor)
	close(d.handedOver)
	return successor
}

// tables returns the ticket tables of this daemon and of those it took over from.
func (d *Daemon) tables() map[string]*ticketer.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := maps.Clone(d.adopted)
	out[d.incarnation] = d.tickets
	return out
}

// amend tells the successor what became of requests that were pending.
func (d *Daemon) amend(ctx context.Context, successor string) {
	if successor == "" {
		return
	}
	for incarnation, table := range d.tables() {
		settled := ticketer.HandOver{Incarnation: incarnation, Entries: table.FinishedEntries()}
		if err := d.sendHandOver(ctx, successor, settled, amendment); err != nil {
			klog.ErrorS(err, "late outcomes were not handed over; they answer unknown", "successor", successor)
		}
	}
}

func (d *Daemon) sendHandOver(ctx context.Context, successor string, h ticketer.HandOver, hops uint32) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := d.linker.Peer(ctx, successor).HandOver(ctx, handOverMessage(h, hops))
	return err
}

// successor returns the one daemon that may take the tickets over: the first
// of the failure domain by rendezvous hashing, or of the tier if there is none.
func (d *Daemon) successor() string {
	var near, all []string
	for _, m := range d.liveDaemons() {
		if m.GetAddress() == d.settings.PeerAddress {
			continue
		}
		all = append(all, m.GetAddress())
		if m.GetFailureDomain() == d.settings.FailureDomain {
			near = append(near, m.GetAddress())
		}
	}
	if len(near) == 0 {
		near = all
	}
	first := assigner.TopRanked(d.incarnation, near, 1)
	if len(first) == 0 {
		return ""
	}
	return first[0]
}

func (d *Daemon) announceLeave(successor string) {
	d.members.Leave(successor)
}

// passToSuccessor forwards a request whose ticket is being handed over, once
// the successor has confirmed that it holds the ticket.
func (d *Daemon) passToSuccessor(ctx context.Context, message *messenger.OnceRequest) (*messenger.OnceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.GetRemainingMicros())*time.Microsecond+forwardReserve)
	defer cancel()
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		return unknownOnce("the ticket is being handed over"), nil
	}
	successor := d.forwardTo.Load()
	if successor == nil || *successor == "" {
		return unknownOnce("the ticket's table is closed"), nil
	}
	reply, err := d.linker.Peer(ctx, *successor).Once(ctx, message)
	if err != nil {
		return unknownOnce("the daemon that took the ticket over did not answer"), nil
	}
	return reply, nil
}
