package daemon

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
)

const (
	// handOverTimeout bounds sending a hand-over message to the successor.
	handOverTimeout = 2 * time.Second
	// idlePollInterval is the interval between checks whether a stopping daemon is idle.
	idlePollInterval = 20 * time.Millisecond
	// answerTime is the time before the end of a shutdown in which responses are sent to
	// the searches that it has ended.
	answerTime = 200 * time.Millisecond
	// leaveGracePeriod is how long peers have to switch their requests to other gateways.
	leaveGracePeriod = 500 * time.Millisecond
)

// Stop starts a graceful shutdown. Run returns when the shutdown is complete.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// Kill ends the daemon at once without a graceful shutdown, as a crash does.
func (d *Daemon) Kill() {
	d.stopping.Store(true)
	d.listeners.close()
	_ = d.callers.Close()
	_ = d.operators.Close()
	d.linker.Close()
	d.scheduler.Close()
}

// awaitStop waits for Stop and then carries out the graceful shutdown: it reports
// this daemon as not ready, waits until the load balancer has removed it, hands over
// the tickets, leaves the membership and finishes the requests in progress.
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
	answerBy := time.Now().Add(time.Duration(d.settings.Shutdown.DrainTimeout) - answerTime)
	d.answerBy.Store(&answerBy)
	d.scheduler.At(answerBy, func(time.Time) { close(d.expired) })
	successor := d.handOver(finish)
	d.announceLeave(successor)
	// Drain refuses new connections and waits for callers' requests that have begun.
	callersErr := d.callerConns.Drain(finish, headerTimeout, answerBy)
	awaitIdle(finish, d.onceActive.Load)
	d.sendLateOutcomes(finish, successor)
	d.announceLeave(successor)
	close(d.leaving)
	scheduler.Sleep(finish, leaveGracePeriod)
	d.sender.StopAccepting()
	awaitIdle(finish, d.sender.Active)
	// Keep running to reject, as not run, requests that peers sent before they
	// received the notice that this daemon is leaving.
	scheduler.Sleep(finish, leaveGracePeriod)
	if bookings, calls := d.onceActive.Load(), d.sender.Active(); callersErr != nil || bookings > 0 || calls > 0 {
		klog.InfoS("requests still in flight when the drain timeout ended", "name", d.settings.Name, "callersIdle", callersErr == nil, "nonIdempotent", bookings, "shardRequests", calls, "successor", successor)
		return nil
	}
	klog.InfoS("daemon is idle", "name", d.settings.Name, "successor", successor)
	return nil
}

// checkStop returns an error of KindStopping if this daemon stops before a request could
// use the whole of its timeout. Another daemon serves its retry.
func (d *Daemon) checkStop(now time.Time, timeout time.Duration) error {
	if answerBy := d.answerBy.Load(); answerBy != nil && now.Add(timeout).After(*answerBy) {
		return failer.New("check shutdown", KindStopping, "the daemon stops before the deadline of the request")
	}
	return nil
}

// awaitIdle waits until active returns 0 or ctx is done.
func awaitIdle(ctx context.Context, active func() int64) {
	for active() > 0 && ctx.Err() == nil {
		scheduler.Sleep(ctx, idlePollInterval)
	}
}

// handOver permanently closes the daemon's own ticket table and those it took
// over, and sends them to one successor, whose address it returns. It returns an
// empty string if there is no successor or the successor did not confirm. In
// that case requests with these tickets have outcome unknown, and no other
// successor is ever tried.
func (d *Daemon) handOver(ctx context.Context) string {
	successor := d.successor()
	for incarnation, table := range d.ticketTables() {
		contents, ok := table.Close(time.Now())
		if !ok || successor == "" {
			continue
		}
		hops := d.news.hops(incarnation) + 1
		if err := d.sendHandOver(ctx, successor, contents, hops); err != nil {
			klog.ErrorS(err, "failed to hand over tickets; the outcome of their requests is unknown", "successor", successor)
			successor = ""
			continue
		}
		d.news.record(incarnation, holding{holder: successor, hops: hops, since: time.Now()})
	}
	d.forwardTo.Store(&successor)
	close(d.handedOver)
	return successor
}

// ticketTables returns this daemon's own ticket table and those it took over, by
// incarnation.
func (d *Daemon) ticketTables() map[string]*ticketer.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := maps.Clone(d.takenOver)
	out[d.incarnation] = d.tickets
	return out
}

// sendLateOutcomes sends the successor the outcomes of requests that were pending
// during the hand-over.
func (d *Daemon) sendLateOutcomes(ctx context.Context, successor string) {
	if successor == "" {
		return
	}
	for incarnation, table := range d.ticketTables() {
		update := ticketer.HandOver{Incarnation: incarnation, Entries: table.FinishedEntries()}
		if err := d.sendHandOver(ctx, successor, update, outcomeUpdateHops); err != nil {
			klog.ErrorS(err, "failed to hand over late outcomes; these requests keep outcome unknown", "successor", successor)
		}
	}
}

func (d *Daemon) sendHandOver(ctx context.Context, successor string, h ticketer.HandOver, hops uint32) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_, err := d.linker.Peer(ctx, successor).HandOver(ctx, handOverMessage(h, hops))
	return err
}

// successor returns the address of the only daemon that may take over the
// tickets: the one ranked first by rendezvous hashing in the failure domain or,
// if this daemon is the last one there, in the tier.
func (d *Daemon) successor() string {
	var sameDomain, all []string
	for _, m := range d.liveDaemons() {
		if m.GetAddress() == d.settings.PeerAddress {
			continue
		}
		all = append(all, m.GetAddress())
		if m.GetFailureDomain() == d.settings.FailureDomain {
			sameDomain = append(sameDomain, m.GetAddress())
		}
	}
	if len(sameDomain) == 0 {
		sameDomain = all
	}
	top := assigner.TopRanked(d.incarnation, sameDomain, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

func (d *Daemon) announceLeave(successor string) {
	d.members.Leave(successor)
}

// forwardToSuccessor forwards a request whose ticket is being handed over. It
// waits until the successor has confirmed that it holds the ticket.
func (d *Daemon) forwardToSuccessor(ctx context.Context, request *messenger.OnceRequest) (*messenger.OnceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetRemainingMicros())*time.Microsecond+forwardReserve)
	defer cancel()
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		return unknownReply("the ticket is being handed over"), nil
	}
	successor := d.forwardTo.Load()
	if successor == nil || *successor == "" {
		return unknownReply("the ticket's table is closed"), nil
	}
	reply, err := d.linker.Peer(ctx, *successor).Once(ctx, request)
	if err != nil {
		return unknownReply("the daemon that took over the ticket did not answer"), nil
	}
	return reply, nil
}
