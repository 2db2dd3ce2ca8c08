package interposer

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnectionAcceptedBeforeResetIsReset resets while an accepted connection is
// still being connected to the target: it must not stay open.
func TestConnectionAcceptedBeforeResetIsReset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = target.Close() }()
	dialing, resume := make(chan struct{}), make(chan struct{})
	p, err := newProxy(target.Addr().String(), func(network, address string) (net.Conn, error) {
		close(dialing)
		<-resume
		return net.Dial(network, address)
	})
	is.NoErr(err)
	defer p.Close()
	client, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	<-dialing
	p.InjectFaults(Faults{Reset: true})
	close(resume)
	is.NoErr(client.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = client.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // reset, not silent
}
