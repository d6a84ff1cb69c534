package wholepath

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	code    string
	header  http.Header
	body    string
	err     error
}

// send makes one request of a caller.
func (f *fleet) send(entry, account, path, body string, header ...string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addr(entry)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.keys[account])
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	var refused struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(raw, &refused)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get("X-Request-Outcome"), code: refused.Error.Code,
		header: resp.Header, body: string(raw), err: err,
	}
}

// chatBody is a streamed request for n tokens.
func chatBody(prompt string, n int) string {
	raw, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, n, raw)
}

// runs lists the idempotency keys that the services ran, once for each run.
func (f *fleet) runs(services int) map[string]int {
	f.t.Helper()
	count := map[string]int{}
	for i := range services {
		resp, err := http.Get("http://" + f.addr(fmt.Sprintf("service%d", i)) + "/runs")
		f.must(err)
		var list struct {
			Runs []struct {
				Key string `json:"idempotency_key"`
			} `json:"runs"`
		}
		f.must(json.NewDecoder(resp.Body).Decode(&list))
		resp.Body.Close()
		for _, r := range list.Runs {
			count[r.Key]++
		}
	}
	return count
}
