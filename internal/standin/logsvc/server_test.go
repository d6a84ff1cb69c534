package logsvc

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin"
)

func serveRequest(t *testing.T, handler http.Handler, method, path, body string) (int, readResponse) {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	var resp readResponse
	is.New(t).NoErr(json.Unmarshal(w.Body.Bytes(), &resp))
	return w.Code, resp
}

const recordsPath = "/v1/streams/s/records"

func TestAppendThenRead(t *testing.T) {
	is := is.New(t)
	handler := New(Config{}).Handler()
	status, _ := serveRequest(t, handler, "POST", recordsPath, `{"records":["YQ==","Yg=="]}`)
	is.Equal(status, http.StatusOK)
	status, resp := serveRequest(t, handler, "GET", recordsPath+"?from=1", "")
	is.Equal(status, http.StatusOK)
	is.Equal(resp.Next, int64(2))
	is.Equal(string(resp.Records[0].Data), "b")
}

func TestReadOfTrimmedOffsetReturnsOldestOffset(t *testing.T) {
	is := is.New(t)
	handler := New(Config{RetainRecords: 1}).Handler()
	serveRequest(t, handler, "POST", recordsPath, `{"records":["YQ==","Yg=="]}`)
	status, resp := serveRequest(t, handler, "GET", recordsPath+"?from=0", "")
	is.Equal(status, http.StatusGone)
	is.Equal(resp.Start, int64(1))
}

func TestRetentionByAge(t *testing.T) {
	is := is.New(t)
	st := newStream()
	st.append(time.Unix(1, 0), [][]byte{{1}})
	st.append(time.Unix(9, 0), [][]byte{{2}})
	st.dropBefore(time.Unix(5, 0))
	is.Equal(st.startOffset, int64(1))
	is.Equal(st.nextOffset(), int64(2))
}

func TestRateLimitAndOutageRefuseWithoutEffect(t *testing.T) {
	is := is.New(t)
	s := New(Config{AppendsPerSecond: 1, ReadsPerSecond: 1})
	now := time.Unix(5, 0)
	_, ok := s.appendRecords("s", now, [][]byte{{1}})
	is.True(ok)
	_, ok = s.appendRecords("s", now, [][]byte{{1}})
	is.True(!ok)
	is.True(s.allowRead(now))
	is.True(!s.allowRead(now))
	is.True(s.allowRead(now.Add(time.Second)))
	is.True(s.faults.Set(standin.Fault{Kind: FaultOutage}))
	status, _ := serveRequest(t, s.Handler(), "POST", recordsPath, `{"records":["YQ=="]}`)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.streams["s"].nextOffset(), int64(1))
}

// The response to an append is lost: the writer sees a closed connection, but the
// record is stored. A writer that appends it again stores it twice.
func TestAppendWithLostResponseIsStored(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	is.True(s.faults.Set(standin.Fault{Kind: FaultLoseAnswer, Count: 1}))
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	_, err := http.Post(srv.URL+recordsPath, "application/json", strings.NewReader(`{"records":["YQ=="]}`))
	is.True(err != nil)
	status, resp := serveRequest(t, s.Handler(), "GET", recordsPath, "")
	is.Equal(status, http.StatusOK)
	is.Equal(len(resp.Records), 1)
}

func TestReadWaitsForRecord(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	got := make(chan readResponse)
	go func() { got <- s.waitAndRead(context.Background(), "s", 0, 10) }()
	_, ok := s.appendRecords("s", time.Now(), [][]byte{{1}})
	is.True(ok)
	is.Equal(len((<-got).Records), 1)
}
