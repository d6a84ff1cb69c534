package wholepath

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// fastEngine makes the engine's own part as short as it can be, so that what
// is measured is the way to it.
var fastEngine = []string{"--itl-ms", "0", "--prefill-tps", "100000000", "--decode-tps", "1000000", "--max-batch", "4096"}

// firstToken sends a streamed request and returns the time to its first event.
func (f *fleet) firstToken(client *http.Client, address, body string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+f.keys["office"])
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return 0, err
	}
	took := time.Since(began)
	_, err = io.Copy(io.Discard, r)
	return took, err
}

// BenchmarkFirstToken compares the time to first token through an entry
// instance with that straight from the engine, in turn in the same run.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet(b, shape{entries: 3, engines: 1, engineFlags: fastEngine})
	client := &http.Client{}
	direct := hdrhistogram.New(1, 1e7, 3)
	routed := hdrhistogram.New(1, 1e7, 3)
	body := chatBody(strings.Repeat("case dossier ", 2000), 2)
	for b.Loop() {
		for _, x := range []struct {
			address string
			into    *hdrhistogram.Histogram
		}{{f.addr("engine0"), direct}, {f.addr("entry0"), routed}} {
			took, err := f.firstToken(client, x.address, body)
			if err != nil {
				b.Fatal(err)
			}
			_ = x.into.RecordValue(took.Microseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		name := "p" + strconv.Itoa(int(q)) + "-us"
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), "direct-"+name)
		b.ReportMetric(float64(routed.ValueAtQuantile(q)), "routed-"+name)
	}
}

var metricLine = regexp.MustCompile(`(?m)^(process_[a-z_]+) ([0-9.e+]+)$`)

// processMetric reads one of an entry's process metrics.
func (f *fleet) processMetric(entry, name string) float64 {
	resp, err := http.Get("http://" + f.addr(entry+".admin") + "/metrics")
	f.must(err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	f.must(err)
	for _, m := range metricLine.FindAllSubmatch(raw, -1) {
		if string(m[1]) == name {
			v, err := strconv.ParseFloat(string(m[2]), 64)
			f.must(err)
			return v
		}
	}
	f.t.Fatalf("no metric %s", name)
	return 0
}

// BenchmarkRequestsPerCore sends short requests over many connections to one
// entry and divides them by the processor time that the entry took.
func BenchmarkRequestsPerCore(b *testing.B) {
	f := newFleet(b, shape{entries: 3, engines: 2, engineFlags: fastEngine, accounts: map[string][2]int{"office": {1e9, 1e9}}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}
	body := chatBody("a short question", 2)
	before := f.processMetric("entry0", "process_cpu_seconds_total")
	var sent atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := f.firstToken(client, f.addr("entry0"), body); err == nil {
				sent.Add(1)
			}
		}
	})
	spent := f.processMetric("entry0", "process_cpu_seconds_total") - before
	b.ReportMetric(float64(sent.Load())/spent, "req/cpu-s")
}

// BenchmarkOpenStreams holds 1,000 streams open through one entry, reports the
// memory they take there, and checks that each answer is whole.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 1000, 40
	f := newFleet(b, shape{entries: 3, engines: 2, engineFlags: []string{"--itl-ms", "50", "--decode-tps", "1000000", "--prefill-tps", "100000000", "--max-batch", "4096"}, accounts: map[string][2]int{"office": {1e9, 1e9}}})
	for b.Loop() {
		before := f.processMetric("entry0", "process_resident_memory_bytes")
		var wg sync.WaitGroup
		var whole atomic.Int64
		for i := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				prompt := "question " + strconv.Itoa(i)
				a := f.send("entry0", "office", "/v1/chat/completions", chatBody(prompt, tokens))
				if text, done := streamed(a.body); done && text == want(prompt, tokens) {
					whole.Add(1)
				}
			}()
		}
		f.wait("all streams run", func() bool { return f.running("engine0")+f.running("engine1") > streams*9/10 })
		open := f.processMetric("entry0", "process_resident_memory_bytes")
		wg.Wait()
		b.ReportMetric((open-before)/streams, "bytes/stream")
		b.ReportMetric(float64(whole.Load()), "whole-streams")
	}
}

// BenchmarkStartToReady restarts an entry and waits until it is ready.
func BenchmarkStartToReady(b *testing.B) {
	f := newFleet(b, shape{entries: 3, engines: 1})
	for b.Loop() {
		b.StopTimer()
		f.procs["entry0"].kill()
		b.StartTimer()
		f.procs["entry0"].begin()
		for !f.ready("entry0") {
			time.Sleep(time.Millisecond)
		}
	}
}
