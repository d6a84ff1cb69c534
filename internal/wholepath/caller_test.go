package wholepath

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// response is the response that a caller received.
type response struct {
	status  int
	outcome string
	code    string
	header  http.Header
	body    string
	err     error
}

// send sends one request as the given account.
func (f *fleet) send(entry, account, path, body string, headers ...string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addressOf(entry)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.keys[account])
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	var errorBody struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(raw, &errorBody)
	return response{
		status: resp.StatusCode, outcome: resp.Header.Get("X-Request-Outcome"), code: errorBody.Error.Code,
		header: resp.Header, body: string(raw), err: err,
	}
}

// chatBody returns the body of a streaming request for n tokens.
func chatBody(prompt string, n int) string {
	raw, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, n, raw)
}

// runCounts returns how often the services ran each idempotency key.
func (f *fleet) runCounts(services int) map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for i := range services {
		resp, err := http.Get("http://" + f.addressOf(fmt.Sprintf("service%d", i)) + "/runs")
		f.must(err)
		var list struct {
			Runs []struct {
				Key string `json:"idempotency_key"`
			} `json:"runs"`
		}
		f.must(json.NewDecoder(resp.Body).Decode(&list))
		resp.Body.Close()
		for _, r := range list.Runs {
			counts[r.Key]++
		}
	}
	return counts
}
