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

// fastEngine minimizes the time spent in the engine, so that the request path is
// measured.
var fastEngine = []string{"--itl-ms", "0", "--prefill-tps", "100000000", "--decode-tps", "1000000", "--max-batch", "4096"}

// timeToFirstToken sends a streaming request and returns the time until its first
// event.
func (f *fleet) timeToFirstToken(client *http.Client, address, body string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+f.keys["office"])
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return 0, err
	}
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, r)
	return elapsed, err
}

// BenchmarkFirstToken compares the time to first token through an entry
// instance with that of direct requests to the engine, alternating in one run.
func BenchmarkFirstToken(b *testing.B) {
	f := newFleet(b, fleetSpec{entries: 3, engines: 1, engineFlags: fastEngine})
	client := &http.Client{}
	direct := hdrhistogram.New(1, 1e7, 3)
	routed := hdrhistogram.New(1, 1e7, 3)
	body := chatBody(strings.Repeat("case dossier ", 2000), 2)
	for b.Loop() {
		for _, x := range []struct {
			address   string
			histogram *hdrhistogram.Histogram
		}{{f.addressOf("engine0"), direct}, {f.addressOf("entry0"), routed}} {
			elapsed, err := f.timeToFirstToken(client, x.address, body)
			if err != nil {
				b.Fatal(err)
			}
			_ = x.histogram.RecordValue(elapsed.Microseconds())
		}
	}
	for _, q := range []float64{50, 99} {
		name := "p" + strconv.Itoa(int(q)) + "-us"
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), "direct-"+name)
		b.ReportMetric(float64(routed.ValueAtQuantile(q)), "routed-"+name)
	}
}

var metricPattern = regexp.MustCompile(`(?m)^(process_[a-z_]+) ([0-9.e+]+)$`)

// processMetric returns the value of one of an entry's process metrics.
func (f *fleet) processMetric(entry, name string) float64 {
	resp, err := http.Get("http://" + f.addressOf(entry+".admin") + "/metrics")
	f.must(err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	f.must(err)
	for _, m := range metricPattern.FindAllSubmatch(raw, -1) {
		if string(m[1]) == name {
			v, err := strconv.ParseFloat(string(m[2]), 64)
			f.must(err)
			return v
		}
	}
	f.t.Fatalf("no metric %s", name)
	return 0
}

// BenchmarkRequestsPerCore sends short requests over many connections to one entry
// and reports the requests per second of CPU time of the entry.
func BenchmarkRequestsPerCore(b *testing.B) {
	f := newFleet(b, fleetSpec{entries: 3, engines: 2, engineFlags: fastEngine, accounts: map[string][2]int{"office": {1e9, 1e9}}})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}
	body := chatBody("a short question", 2)
	before := f.processMetric("entry0", "process_cpu_seconds_total")
	var sent atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := f.timeToFirstToken(client, f.addressOf("entry0"), body); err == nil {
				sent.Add(1)
			}
		}
	})
	cpuSeconds := f.processMetric("entry0", "process_cpu_seconds_total") - before
	b.ReportMetric(float64(sent.Load())/cpuSeconds, "req/cpu-s")
}

// BenchmarkOpenStreams keeps 1,000 streams open through one entry and reports its
// memory per stream and the number of complete answers.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 1000, 40
	f := newFleet(b, fleetSpec{entries: 3, engines: 2, engineFlags: []string{"--itl-ms", "50", "--decode-tps", "1000000", "--prefill-tps", "100000000", "--max-batch", "4096"}, accounts: map[string][2]int{"office": {1e9, 1e9}}})
	for b.Loop() {
		before := f.processMetric("entry0", "process_resident_memory_bytes")
		var wg sync.WaitGroup
		var complete atomic.Int64
		for i := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				prompt := "question " + strconv.Itoa(i)
				a := f.send("entry0", "office", "/v1/chat/completions", chatBody(prompt, tokens))
				if text, done := parseStream(a.body); done && text == expectedText(prompt, tokens) {
					complete.Add(1)
				}
			}()
		}
		f.waitFor("all streams run", func() bool { return f.runningStreams("engine0")+f.runningStreams("engine1") > streams*9/10 })
		open := f.processMetric("entry0", "process_resident_memory_bytes")
		wg.Wait()
		b.ReportMetric((open-before)/streams, "bytes/stream")
		b.ReportMetric(float64(complete.Load()), "whole-streams")
	}
}

// BenchmarkStartToReady measures the time from the start of an entry until it is
// ready.
func BenchmarkStartToReady(b *testing.B) {
	f := newFleet(b, fleetSpec{entries: 3, engines: 1})
	for b.Loop() {
		b.StopTimer()
		f.procs["entry0"].kill()
		b.StartTimer()
		f.procs["entry0"].start()
		for !f.isReady("entry0") {
			time.Sleep(time.Millisecond)
		}
	}
}
