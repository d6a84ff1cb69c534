package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition each.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	// latest is the offset of the newest record of each key that has a value.
	latest map[string]int64
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put appends a record as an operator or a server does. It is acknowledged when put returns. A nil
// value removes the key.
func (s *store) put(topicName, key string, value any) {
	raw := []byte(nil)
	if value != nil {
		raw, _ = json.Marshal(value) // the values are maps of plain types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, append(append([]byte{byte(len(key))}, key...), raw...))
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{latest: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, record []byte) int64 {
	t := s.topic(name)
	offset := int64(len(t.records))
	t.records = append(t.records, record)
	n := int(record[0])
	if key := string(record[1 : 1+n]); len(record) > 1+n {
		t.latest[key] = offset
	} else {
		delete(t.latest, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topic(name).records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"end-offset": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.append(name, body[4:4+n])
		body = body[4+n:]
	}
	answer(w, http.StatusOK, map[string]int64{"offset": end, "end-offset": int64(len(s.topic(name).records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		end := int64(len(t.records))
		out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), 0)
		for _, record := range t.records[min(from, end):] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, offset := range t.latest {
		record := t.records[offset]
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(record[1+len(key):]), Offset: offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "end-offset": len(t.records)})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller detects a truncated answer
}
