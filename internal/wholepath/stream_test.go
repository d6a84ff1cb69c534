package wholepath

import (
	"bufio"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin/engine"
)

// parseStream returns the text of an SSE response and whether it ended with [DONE].
func parseStream(body string) (text string, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

// expectedText returns the first n tokens that the engines generate for a prompt.
func expectedText(prompt string, n int) string {
	return engine.NewTextGenerator([]byte("user\n" + prompt + "\n")).FirstTokens(n)
}

// checkStreams sends n prompts concurrently through all entries, calls during while
// they run, and checks that each answer is complete.
func (f *fleet) checkStreams(n, tokens int, during func()) {
	f.t.Helper()
	var wg sync.WaitGroup
	responses := make([]response, n)
	prompts := make([]string, n)
	for i := range n {
		prompts[i] = strings.Repeat("case dossier ", 2000) + strings.Repeat("q", i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = f.send(f.entries[i%len(f.entries)], "office", "/v1/chat/completions", chatBody(prompts[i], tokens))
		}()
	}
	during()
	wg.Wait()
	for i, a := range responses {
		text, done := parseStream(a.body)
		if a.err != nil || a.status != 200 || !done || text != expectedText(prompts[i], tokens) {
			f.t.Errorf("stream %d: status=%d done=%v complete=%v err=%v body=%.300s", i, a.status, done, text == expectedText(prompts[i], tokens), a.err, a.body)
		}
	}
}

// An engine is killed while it generates streams. Each caller still gets one complete
// answer: the router continues the stream on another engine and skips the part that
// it has already relayed.
func TestStreamsSurviveKilledEngine(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.checkStreams(24, 60, func() {
		f.waitFor("engine0 runs streams", func() bool { return f.runningStreams("engine0") > 0 })
		f.procs["engine0"].kill()
	})
}

// An instance gets SIGTERM while streams run through it. Its callers get complete
// answers: it stops accepting requests after the load balancer's lag, finishes the
// running ones and then exits.
func TestStreamsSurviveDrainedEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.checkStreams(12, 60, func() {
		f.waitFor("streams run", func() bool {
			return f.runningStreams("engine0")+f.runningStreams("engine1")+f.runningStreams("engine2") >= 12
		})
		f.procs["entry1"].signal(syscall.SIGTERM)
	})
	is.NoErr(f.procs["entry1"].cmd.Wait())
}

// Guards against an instance that ends at once, with all its streams, when an operator's tool
// asks it to reload.
func TestStreamsSurviveReloadSignal(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.checkStreams(12, 60, func() {
		f.waitFor("streams run", func() bool {
			return f.runningStreams("engine0")+f.runningStreams("engine1")+f.runningStreams("engine2") >= 12
		})
		f.procs["entry1"].signal(syscall.SIGHUP)
	})
	is.True(f.isReady("entry1"))
}

// runningStreams returns the number of requests that an engine is running.
func (f *fleet) runningStreams(name string) int {
	var load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	f.getJSON(name, "/load", &load)
	return load.Running
}
