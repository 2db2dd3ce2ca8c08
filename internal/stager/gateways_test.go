package stager_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

// limitConnections limits the connections of each searcher so far that only one
// daemon of its failure domain may dial it, as with the gateway sets of a deployment
// of full size.
func limitConnections(c *stager.Config) {
	const limit = 5
	for i := range c.Site.Workloads {
		c.Site.Workloads[i].ConnectionLimit = limit
	}
	for i := range c.Declarations.Services {
		c.Declarations.Services[i].ConnectionLimit = limit
	}
}

// TestGatewaySetsKeepConnectionLimits guards against searchers that are dialled more
// often than their connection limit, and against bookings that fail or run twice,
// while requests go through gateway sets. After two daemons of a failure domain are
// killed, the remaining one must serve the whole domain.
func TestGatewaySetsKeepConnectionLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startCluster(t, 3, limitConnections)
	stop := runWorkers(9, func(worker, _ int) {
		_, _ = cluster.Client(worker).Search(t.Context(), searchRequest("parts-finder"))
	})
	time.Sleep(time.Second)
	stop()
	for n := range cluster.Daemons {
		answer, err := cluster.Client(n).Search(t.Context(), searchRequest("parts-finder"))
		is.NoErr(err)
		is.Equal(answer.Coverage.Fraction, 1.0)
		ticket, err := cluster.Client(n).Ticket(t.Context())
		is.NoErr(err)
		request := caller.Request{Service: "bookings", Class: "booking", Key: "k", Ticket: ticket, Body: []byte(`{}`)}
		_, err = cluster.Client((n+4)%9).Submit(t.Context(), request)
		is.NoErr(err)
		is.Equal(bookingRuns(cluster)[ticket], 1)
	}
	for _, searcher := range cluster.SearchersOf("parts-finder") {
		stats := searcher.Stats()
		is.True(stats.PeakConnections <= 5)
		is.Equal(stats.RefusedConnections, 0)
	}
	cluster.Daemons[1].Kill()
	cluster.Daemons[2].Kill()
	eventually(t, "the last daemon of the domain answers with full coverage", func() bool {
		answer, err := cluster.Client(0).Search(t.Context(), searchRequest("parts-finder"))
		return err == nil && answer.Coverage.Fraction == 1
	})
}

// writeCertificates writes the files of a new certificate authority and of a
// certificate for 127.0.0.1 that it has signed.
func writeCertificates(t *testing.T) *loader.TLS {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	template := func(serial int64, authority bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IsCA: authority, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		}
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority, err := x509.CreateCertificate(rand.Reader, template(1, true), template(1, true), &caKey.PublicKey, caKey)
	is.NoErr(err)
	certificate, err := x509.CreateCertificate(rand.Reader, template(2, false), template(1, true), &key.PublicKey, caKey)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return &loader.TLS{
		Certificate: write("certificate", "CERTIFICATE", certificate),
		Key:         write("key", "EC PRIVATE KEY", private),
		Authority:   write("authority", "CERTIFICATE", authority),
	}
}

// TestDaemonWithUntrustedCertificateIsRejected runs daemons with TLS between them and
// adds one whose certificate another authority has signed. The others must send it
// nothing: it has only the platform's documents, and a booking with a ticket of
// another daemon does not run.
func TestDaemonWithUntrustedCertificateIsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := writeCertificates(t)
	cluster := startCluster(t, 1, func(c *stager.Config) {
		c.Policy.Route = loader.RouteGateway
		c.ModifySettings = func(s *loader.Settings) { s.TLS = files }
	})
	answer, err := cluster.Client(0).Search(t.Context(), searchRequest("parts-finder"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Fraction, 1.0)

	ticket, err := cluster.Client(0).Ticket(t.Context())
	is.NoErr(err)
	cluster.Config.ModifySettings = func(s *loader.Settings) { s.TLS = writeCertificates(t) }
	_, err = cluster.AddDaemon(cluster.Site.Domains[0], 9)
	is.NoErr(err)
	untrusted := cluster.Client(len(cluster.Daemons) - 1)
	eventually(t, "the untrusted daemon has the platform's documents and receives nothing from its peers", func() bool {
		answer, _ := untrusted.Submit(t.Context(), caller.Request{Service: "bookings", Class: "booking", Key: "k", Ticket: ticket, Body: []byte(`{}`)})
		return answer.Outcome == caller.OutcomeUnknown && answer.Snapshot == "" && len(answer.Coverage.Missing) > 0
	})
	is.Equal(len(bookingRuns(cluster)), 0)
}
