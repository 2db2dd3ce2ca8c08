package prober_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/prober"
)

// protocolResult is the detection time, the false positives and the network cost of
// a membership protocol.
type protocolResult struct {
	detectionTime time.Duration
	falseDeaths   int
	bytesPerSec   float64
}

// heartbeatModel simulates protocols in which members send heartbeats to fixed
// neighbors and declare one dead after four periods without a heartbeat: all-to-all,
// and the overlapping ring with sqrt(N) downstream neighbors and as many heads.
type heartbeatModel struct {
	n    int
	ring bool
	loss float64
	rng  *rand.Rand
}

const (
	heartbeatPeriod  = time.Second
	heartbeatTimeout = 4 * time.Second
	heartbeatBytes   = headerBytes + 60
	// confirmProbeTime is the duration of the direct probe by which a ring member
	// confirms a failure that others report.
	confirmProbeTime = 600 * time.Millisecond
)

// neighbors returns the members that i exchanges heartbeats with.
func (h *heartbeatModel) neighbors(i int) []int {
	var out []int
	if !h.ring {
		for j := range h.n {
			if j != i {
				out = append(out, j)
			}
		}
		return out
	}
	m := int(math.Ceil(math.Sqrt(float64(h.n))))
	seen := map[int]bool{i: true}
	for k := 1; k < m; k++ {
		for _, j := range []int{(i + k) % h.n, (i + h.n - k) % h.n, (i + k*m) % h.n, (i + h.n - k*m%h.n) % h.n} {
			if !seen[j] {
				seen[j] = true
				out = append(out, j)
			}
		}
	}
	return out
}

// run returns the time until every survivor has detected a member that goes silent
// in the middle of the span, how often a live member was declared dead, and the
// traffic for each member.
func (h *heartbeatModel) run(span time.Duration) protocolResult {
	last := make([]map[int]time.Duration, h.n)
	phase := make([]time.Duration, h.n)
	sent := 0
	for i := range last {
		last[i] = map[int]time.Duration{}
		phase[i] = time.Duration(h.rng.Int64N(int64(heartbeatPeriod)))
	}
	neighbors := make([][]int, h.n)
	for i := range neighbors {
		neighbors[i] = h.neighbors(i)
	}
	var out protocolResult
	silentAt := span / 2
	detected := map[int]time.Duration{}
	for now := time.Duration(0); now < span; now += 100 * time.Millisecond {
		for i := range h.n {
			if (now+phase[i])%heartbeatPeriod < 100*time.Millisecond && (i != 0 || now < silentAt) {
				for _, j := range neighbors[i] {
					sent++
					if h.rng.Float64() >= h.loss {
						last[j][i] = now
					}
				}
			}
			for j, at := range last[i] {
				if now-at < heartbeatTimeout {
					continue
				}
				if j == 0 && now >= silentAt {
					if _, ok := detected[i]; !ok {
						detected[i] = now - silentAt
					}
				} else {
					out.falseDeaths++
					last[i][j] = now
				}
			}
		}
	}
	for _, d := range detected {
		out.detectionTime = max(out.detectionTime, d)
	}
	if h.ring {
		// The next heartbeat of a monitor reports the failure to the other members,
		// which then probe the silent one directly.
		out.detectionTime += heartbeatPeriod + confirmProbeTime
	}
	out.bytesPerSec = 2 * float64(sent*heartbeatBytes) / float64(h.n) / span.Seconds()
	return out
}

func runSWIM(n int, loss float64, seed uint64) protocolResult {
	c := newCluster(n, loss, seed)
	c.run(10*time.Second, nil)
	c.bytes = 0
	span := 20 * time.Second
	var out protocolResult
	for range int(span / time.Second) {
		c.run(time.Second, nil)
		out.falseDeaths += c.wronglyDead()
	}
	// Each byte is sent by one member and received by another.
	out.bytesPerSec = 2 * float64(c.bytes) / float64(n) / span.Seconds()
	c.silent[0] = true
	out.detectionTime = c.run(time.Minute, func() bool { return c.countViews(0, prober.Dead) == n-1 })
	return out
}

// deadAfterPauses returns the maximum of wrong Dead states, counted as pairs of
// members, after a tenth of the members were paused for 2 s.
func deadAfterPauses(n int, seed uint64) int {
	c := newCluster(n, 0, seed)
	c.run(10*time.Second, nil)
	for i := range n / 10 {
		c.silent[i] = true
	}
	c.run(2*time.Second, nil)
	clear(c.silent)
	wronglyDead := 0
	for range 10 {
		c.run(time.Second, nil)
		wronglyDead = max(wronglyDead, c.wronglyDead())
	}
	return wronglyDead
}

// BenchmarkMembership compares the protocols at three tier sizes:
//
//	go test -run - -bench Membership -benchtime 1x ./internal/prober
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{16, 74, 520} {
		for name, run := range map[string]func(loss float64) protocolResult{
			"allToAll": func(loss float64) protocolResult {
				return (&heartbeatModel{n: n, loss: loss, rng: rand.New(rand.NewPCG(1, 1))}).run(40 * time.Second)
			},
			"ring": func(loss float64) protocolResult {
				return (&heartbeatModel{n: n, ring: true, loss: loss, rng: rand.New(rand.NewPCG(1, 1))}).run(40 * time.Second)
			},
			"swim": func(loss float64) protocolResult { return runSWIM(n, loss, 1) },
		} {
			for _, loss := range []float64{0, 0.05} {
				b.Run(fmt.Sprintf("%s/members=%d/loss=%v", name, n, loss), func(b *testing.B) {
					for range b.N {
						c := run(loss)
						b.ReportMetric(c.detectionTime.Seconds(), "detect-s")
						b.ReportMetric(float64(c.falseDeaths), "false-dead")
						b.ReportMetric(c.bytesPerSec, "B/s")
					}
				})
			}
		}
		b.Run(fmt.Sprintf("swim/members=%d/pauses", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(deadAfterPauses(n, 1)), "false-dead")
			}
		})
	}
}
