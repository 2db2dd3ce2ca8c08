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

// grouped gives searchers so few connections that each may be dialled by one
// daemon of its failure domain only, as gateway sets are at the full size.
func grouped(c *stager.Config) {
	const limit = 5
	for i := range c.Site.Workloads {
		c.Site.Workloads[i].ConnectionLimit = limit
	}
	for i := range c.Declarations.Services {
		c.Declarations.Services[i].ConnectionLimit = limit
	}
}

// TestGroupsKeepConnectionLimits runs searches and bookings through gateway
// sets, and kills a daemon of each set in one failure domain.
func TestGroupsKeepConnectionLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stage := put(t, 3, grouped)
	stop := background(9, func(worker, _ int) {
		_, _ = stage.Client(worker).Search(t.Context(), search("parts-finder"))
	})
	time.Sleep(time.Second)
	stop()
	for n := range stage.Daemons {
		answer, err := stage.Client(n).Search(t.Context(), search("parts-finder"))
		is.NoErr(err)
		is.Equal(answer.Coverage.Fraction, 1.0)
		ticket, err := stage.Client(n).Ticket(t.Context())
		is.NoErr(err)
		request := caller.Request{Service: "bookings", Class: "booking", Key: "k", Ticket: ticket, Body: []byte(`{}`)}
		_, err = stage.Client((n+4)%9).Submit(t.Context(), request)
		is.NoErr(err)
		is.Equal(runs(stage)[ticket], 1)
	}
	for _, r := range stage.SearchersOf("parts-finder") {
		facts := r.Stats()
		is.True(facts.PeakConnections <= 5)
		is.Equal(facts.RefusedConnections, 0)
	}
	stage.Daemons[1].Kill()
	stage.Daemons[2].Kill()
	eventually(t, "the last daemon of the domain serves all of it", func() bool {
		answer, err := stage.Client(0).Search(t.Context(), search("parts-finder"))
		return err == nil && answer.Coverage.Fraction == 1
	})
}

// certificates writes an authority and a certificate for 127.0.0.1 signed by it.
func certificates(t *testing.T) *loader.TLS {
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
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority, err := x509.CreateCertificate(rand.Reader, template(1, true), template(1, true), &authorityKey.PublicKey, authorityKey)
	is.NoErr(err)
	certificate, err := x509.CreateCertificate(rand.Reader, template(2, false), template(1, true), &key.PublicKey, authorityKey)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return &loader.TLS{
		Certificate: write("certificate", "CERTIFICATE", certificate),
		Key:         write("key", "EC PRIVATE KEY", private),
		Authority:   write("authority", "CERTIFICATE", authority),
	}
}

// TestDaemonsProveThemselves runs daemons with TLS between them, and one more
// whose certificate another authority signed: it gets nothing from the others.
func TestDaemonsProveThemselves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := certificates(t)
	stage := put(t, 1, func(c *stager.Config) {
		c.Policy.Route = loader.RouteGateway
		c.ModifySettings = func(s *loader.Settings) { s.TLS = files }
	})
	answer, err := stage.Client(0).Search(t.Context(), search("parts-finder"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Fraction, 1.0)

	ticket, err := stage.Client(0).Ticket(t.Context())
	is.NoErr(err)
	stage.Config.ModifySettings = func(s *loader.Settings) { s.TLS = certificates(t) }
	_, err = stage.AddDaemon(stage.Site.Domains[0], 9)
	is.NoErr(err)
	stranger := stage.Client(len(stage.Daemons) - 1)
	eventually(t, "the stranger has what the platform says", func() bool {
		answer, _ := stranger.Submit(t.Context(), caller.Request{Service: "bookings", Class: "booking", Key: "k", Ticket: ticket, Body: []byte(`{}`)})
		return answer.Outcome == caller.OutcomeUnknown && answer.Snapshot == "" && len(answer.Coverage.Missing) > 0
	})
	is.Equal(len(runs(stage)), 0)
}
