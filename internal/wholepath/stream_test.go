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

// streamed is the text of an SSE answer, and whether it ended with [DONE].
func streamed(body string) (text string, done bool) {
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

// want is the text that the engines give for a prompt.
func want(prompt string, n int) string {
	return engine.NewTextGenerator([]byte("user\n" + prompt + "\n")).FirstTokens(n)
}

// stream sends n prompts at once over all entries and checks each answer.
// during runs while the answers are on their way.
func (f *fleet) stream(n, tokens int, during func()) {
	f.t.Helper()
	var wg sync.WaitGroup
	answers := make([]answer, n)
	prompts := make([]string, n)
	for i := range n {
		prompts[i] = strings.Repeat("case dossier ", 2000) + strings.Repeat("q", i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.send(f.entries[i%len(f.entries)], "office", "/v1/chat/completions", chatBody(prompts[i], tokens))
		}()
	}
	during()
	wg.Wait()
	for i, a := range answers {
		text, done := streamed(a.body)
		if a.err != nil || a.status != 200 || !done || text != want(prompts[i], tokens) {
			f.t.Errorf("stream %d: status=%d done=%v whole=%v err=%v body=%.300s", i, a.status, done, text == want(prompts[i], tokens), a.err, a.body)
		}
	}
}

// Callers stream answers while the engine that generates some of them is
// killed. They see one unbroken answer each: the router takes the stream up at
// another engine, skips what was relayed, and goes on.
func TestStreamsSurviveKilledEngine(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.stream(24, 60, func() {
		f.wait("engine0 runs streams", func() bool { return f.running("engine0") > 0 })
		f.procs["engine0"].kill()
	})
}

// An instance gets SIGTERM while streams run through it. Its callers see whole
// answers: it takes no new requests after the balancer's lag, finishes what it
// has, and only then ends.
func TestStreamsSurviveDrainedEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.stream(12, 60, func() {
		f.wait("streams run", func() bool { return f.running("engine0")+f.running("engine1")+f.running("engine2") >= 12 })
		f.procs["entry1"].signal(syscall.SIGTERM)
	})
	is.NoErr(f.procs["entry1"].cmd.Wait())
}

// running is the streams that an engine generates now.
func (f *fleet) running(name string) int {
	var load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	f.get(name, "/load", &load)
	return load.Running
}
