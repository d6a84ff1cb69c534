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

func do(t *testing.T, h http.Handler, method, path, body string) (int, readAnswer) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	var ans readAnswer
	is.New(t).NoErr(json.Unmarshal(w.Body.Bytes(), &ans))
	return w.Code, ans
}

const records = "/v1/streams/s/records"

func TestAppendThenRead(t *testing.T) {
	is := is.New(t)
	h := New(Config{}).Handler()
	status, _ := do(t, h, "POST", records, `{"records":["YQ==","Yg=="]}`)
	is.Equal(status, http.StatusOK)
	status, ans := do(t, h, "GET", records+"?from=1", "")
	is.Equal(status, http.StatusOK)
	is.Equal(ans.Next, int64(2))
	is.Equal(string(ans.Records[0].Data), "b")
}

func TestRetentionAnswersWithTheOldestOffset(t *testing.T) {
	is := is.New(t)
	h := New(Config{RetainRecords: 1}).Handler()
	do(t, h, "POST", records, `{"records":["YQ==","Yg=="]}`)
	status, ans := do(t, h, "GET", records+"?from=0", "")
	is.Equal(status, http.StatusGone)
	is.Equal(ans.Start, int64(1))
}

func TestAgeTrims(t *testing.T) {
	is := is.New(t)
	st := newStream()
	st.append(time.Unix(1, 0), [][]byte{{1}})
	st.append(time.Unix(9, 0), [][]byte{{2}})
	st.expire(time.Unix(5, 0))
	is.Equal(st.start, int64(1))
	is.Equal(st.next(), int64(2))
}

func TestRateAndOutageRefuseWithoutEffect(t *testing.T) {
	is := is.New(t)
	s := New(Config{AppendsPerSecond: 1, ReadsPerSecond: 1})
	now := time.Unix(5, 0)
	_, ok := s.append("s", now, [][]byte{{1}})
	is.True(ok)
	_, ok = s.append("s", now, [][]byte{{1}})
	is.True(!ok)
	is.True(s.takeRead(now))
	is.True(!s.takeRead(now))
	is.True(s.takeRead(now.Add(time.Second)))
	is.True(s.faults.Set(standin.Fault{Kind: FaultOutage}))
	status, _ := do(t, s.Handler(), "POST", records, `{"records":["YQ=="]}`)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.streams["s"].next(), int64(1))
}

// The answer to an append is lost: the writer sees its connection cut, but the
// record is there. A writer that appended again would have it twice.
func TestLostAnswerHasTakenEffect(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	is.True(s.faults.Set(standin.Fault{Kind: FaultLoseAnswer, Count: 1}))
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	_, err := http.Post(srv.URL+records, "application/json", strings.NewReader(`{"records":["YQ=="]}`))
	is.True(err != nil)
	status, ans := do(t, s.Handler(), "GET", records, "")
	is.Equal(status, http.StatusOK)
	is.Equal(len(ans.Records), 1)
}

func TestReadWaitsForARecord(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	got := make(chan readAnswer)
	go func() { got <- s.read(context.Background(), "s", 0, 10) }()
	_, ok := s.append("s", time.Now(), [][]byte{{1}})
	is.True(ok)
	is.Equal(len((<-got).Records), 1)
}
