package resetconn

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/brokentarget"
)

const (
	head = "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n"
	// exchanges is enough for each delay of the target before a reset, several times.
	exchanges = 50
)

// upload is larger than what the sockets of a connection hold.
var upload = bytes.Repeat([]byte("u"), 8<<20)

// exchange sends a request and reads what the target sends meanwhile to the end. closeWhenSent closes the
// connection when the request can't be sent, as net/http does.
func exchange(t *testing.T, address string, closeWhenSent bool) (string, error) {
	conn, err := Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", address)
	if err != nil {
		t.Error(err)
		return "", err
	}
	defer conn.Close()
	go func() {
		_, err := io.WriteString(conn, head)
		for sent := 0; err == nil && sent < len(upload); sent += 32 << 10 {
			_, err = conn.Write(upload[sent : sent+32<<10])
		}
		if closeWhenSent {
			conn.Close()
		}
	}()
	got, err := io.ReadAll(conn)
	return string(got), err
}

// Guards against a reset that a pending write takes, so that the response looks complete.
func TestResetDuringWriteIsNoEndOfStream(t *testing.T) {
	for name, closeWhenSent := range map[string]bool{"open": false, "closed by the writer": true} {
		t.Run(name, func(t *testing.T) {
			target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "part", End: brokentarget.Reset}))
			var ended sync.WaitGroup
			for range exchanges {
				ended.Go(func() {
					got, err := exchange(t, target.Address, closeWhenSent)
					if !errors.Is(err, syscall.ECONNRESET) && !(closeWhenSent && errors.Is(err, net.ErrClosed)) {
						t.Errorf("%q ended with %v", got, err)
					}
				})
			}
			ended.Wait()
		})
	}
}

// Guards against regular ends that count as resets, or that wait for a write that the target doesn't
// read.
func TestRegularEndDuringWriteIsTheEndOfStream(t *testing.T) {
	for name, end := range map[string]brokentarget.End{"open": brokentarget.CloseSending, "reset later": brokentarget.CloseThenReset} {
		t.Run(name, func(t *testing.T) {
			target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "whole", End: end}))
			var ended sync.WaitGroup
			for range exchanges {
				ended.Go(func() {
					got, err := exchange(t, target.Address, false)
					if err != nil || got != "whole" {
						t.Errorf("%q ended with %v", got, err)
					}
				})
			}
			ended.Wait()
		})
	}
}

// Guards against a regular end that is read only after the connection was reset, and that counts as a
// reset.
func TestEndBeforeResetIsTheEndOfStream(t *testing.T) {
	is := is.New(t)
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "whole", End: brokentarget.CloseThenReset}))
	for range exchanges {
		conn, err := Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", target.Address)
		is.NoErr(err)
		_, err = io.WriteString(conn, head)
		is.NoErr(err)
		for err == nil {
			_, err = conn.Write(upload)
		}
		got, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(string(got), "whole")
		conn.Close()
	}
}

// Guards against copies that read or write past the methods of the connection.
func TestCopiesUseReadAndWrite(t *testing.T) {
	is := is.New(t)
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{}))
	conn, err := Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", target.Address)
	is.NoErr(err)
	defer conn.Close()
	_, readsFrom := conn.(io.ReaderFrom)
	_, writesTo := conn.(io.WriterTo)
	is.True(!readsFrom && !writesTo)
}

// Guards against a failure to wrap connections that are no sockets, or wrapped already.
func TestOtherConnectionsStayAsTheyAre(t *testing.T) {
	is := is.New(t)
	one, other := net.Pipe()
	defer one.Close()
	defer other.Close()
	is.Equal(Wrap(one), one)
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{}))
	conn, err := Dialer(nil)(t.Context(), "tcp", target.Address)
	is.NoErr(err)
	defer conn.Close()
	is.Equal(Wrap(conn), conn)
}
