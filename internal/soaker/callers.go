package soaker

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/merger"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// callerTimeout is the deadline of a request.
const callerTimeout = 1500 * time.Millisecond

// tryClaim reserves a process for a fault that kills, terminates or suspends it. It
// reports false while another such fault is active.
func (p *process) tryClaim() bool { return p.claimed.CompareAndSwap(false, true) }

func (p *process) release() { p.claimed.Store(false) }

var requestCounter atomic.Uint64

func (s *Soak) nextRequestID() string {
	return fmt.Sprintf("%04x%012x", s.config.Seed&0xffff, requestCounter.Add(1))
}

// generateLoad sends requests to the processes in turn, starting at the index of the
// caller, until ctx is done.
func (s *Soak) generateLoad(ctx context.Context, caller int) {
	paths := []string{stager.ScatterGatherPath, stager.AtMostOncePath, stager.SinglePath}
	for n := caller; ctx.Err() == nil; n++ {
		path := paths[n%len(paths)]
		s.sendRequest(ctx, s.processes[n%len(s.processes)], path)
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
}

func (s *Soak) sendRequest(ctx context.Context, p *process, path string) {
	s.mu.Lock()
	daemon := p.TierDaemon
	s.mu.Unlock()
	id, method := s.nextRequestID(), methodOf(path)
	callCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	reply, err := s.tier.Send(callCtx, daemon, method, path+"x", id, callerTimeout, nil)
	cancel()
	if ctx.Err() != nil {
		return
	}
	s.recordReply(id, path, reply, err)
}

func methodOf(path string) string {
	if path == stager.AtMostOncePath {
		return http.MethodPost
	}
	return http.MethodGet
}

// recordReply counts the outcome of a request and checks its reply.
func (s *Soak) recordReply(id, path string, reply stager.Reply, err error) {
	s.recordOutcome(id, path, reply, err)
	if err != nil {
		return
	}
	switch {
	case reply.Status == http.StatusOK && path == stager.ScatterGatherPath:
		s.checkGather(id, reply)
	case reply.Status == http.StatusOK:
		s.checkSingle(id, reply)
	case reply.Status == http.StatusNotFound:
		s.reportViolation("%s: got status 404 for a route that every configuration contains", id)
	}
}

func (s *Soak) recordOutcome(id, path string, reply stager.Reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Requests++
	switch {
	case err != nil:
		s.report.Failed++
	case reply.Status == http.StatusOK:
		s.report.Answered++
	case reply.Status == http.StatusServiceUnavailable:
		s.report.Refused++
	default:
		s.report.Failed++
	}
	if path == stager.AtMostOncePath {
		s.onceStatus[id] = reply.Status
	}
}

// checkGather requires that the coverage headers account for every shard, that at least
// 3/4 of the shards answered, each once and with the stamp of this request, and that the
// body holds the greatest records of their replies.
func (s *Soak) checkGather(id string, reply stager.Reply) {
	coverage := platform.ParseCoverage(reply.Header)
	shards := s.tier.Config.Shards
	if len(coverage.Stamps)+coverage.Missing != shards || len(coverage.Stamps)*4 < shards*3 {
		s.reportViolation("%s: coverage reports %d answered and %d missing of %d shards", id, len(coverage.Stamps), coverage.Missing, shards)
	}
	byStamp := map[string]*emulator.Backend{}
	for _, b := range s.tier.Backends {
		byStamp[b.Stamp(id)] = b
	}
	var parts [][]byte
	seen := map[string]bool{}
	for _, stamp := range coverage.Stamps {
		b, ok := byStamp[stamp]
		if !ok || seen[b.Server.Service] {
			s.reportViolation("%s: server stamp %q belongs to another request or repeats a shard", id, stamp)
			return
		}
		seen[b.Server.Service] = true
		parts = append(parts, b.Body(id))
	}
	if !bytes.Equal(reply.Body, merger.Top(parts, stager.TopK)) {
		s.reportViolation("%s: body is not the merge of the greatest records of the shard replies", id)
	}
}

// checkSingle requires that body and stamp of a reply are those of one searcher.
func (s *Soak) checkSingle(id string, reply stager.Reply) {
	for _, b := range s.tier.Backends {
		if bytes.Equal(reply.Body, b.Body(id)) && platform.ServerStamp(reply.Header) == b.Stamp(id) {
			return
		}
	}
	s.reportViolation("%s: reply matches no searcher", id)
}

// checkOnce requires that no non-idempotent request ran more than once and that none
// that was refused ran. It first waits until requests in flight have timed out.
func (s *Soak) checkOnce() {
	time.Sleep(callerTimeout)
	runs := map[string]int{}
	for _, b := range s.tier.Backends {
		for id, n := range b.Stats().Runs {
			runs[id] += n
		}
	}
	for id, status := range s.onceStatus {
		if runs[id] > 1 {
			s.reportViolation("%s: non-idempotent request ran %d times", id, runs[id])
		}
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			s.reportViolation("%s: request was refused with status %d but ran", id, status)
		}
	}
}
