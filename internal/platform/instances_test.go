package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an instance that stops following the list because another writer has left one odd
// entry in it.
func TestOddEntriesOfTheInstanceListAreSkipped(t *testing.T) {
	const depth = 20_000
	const good = `{"id":"%s","address":"10.0.0.1:80","domain":"d","role":"entry","state":"live","extra":[{"a":null}]}`
	for name, odd := range map[string]string{
		"nested deeply":            strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested deeply in a field": `{"id":"x","address":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + `}`,
		"nested in another field":  `{"id":"x","other":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`,
		"a number for its id":      `{"id":123456789012345678901234567890,"address":"10.0.0.2:80"}`,
		"a number too large":       `1e400`,
		"a list for its address":   `{"id":"x","address":["10.0.0.2:80"]}`,
		"null":                     `null`,
		"nothing":                  `{}`,
		"port out of range":        `{"id":"x","address":"10.0.0.2:70000","domain":"d","role":"entry","state":"live"}`,
		"port 0":                   `{"id":"x","address":"10.0.0.2:0","domain":"d","role":"entry","state":"live"}`,
		"no port":                  `{"id":"x","address":"10.0.0.2","domain":"d","role":"entry","state":"live"}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"version":{"a":[1]},"instances":[`+good+`,%s,`+good+`],"as_of_ms":7}`, "a", odd, "b")
			}))
			defer server.Close()
			list, err := NewHTTPInstances(server.URL, nil).Instances(t.Context())
			is.NoErr(err)
			is.Equal(list.AsOf.UnixMilli(), int64(7))
			is.Equal(len(list.Instances), 2)
			is.Equal(list.Instances[0], Instance{ID: "a", Address: "10.0.0.1:80", Domain: "d", Role: RoleEntry, State: StateLive})
			is.Equal(list.Instances[1].ID, "b")
		})
	}
}

// Guards against a list that is cut short or no list at all, and that counts as one of fewer instances.
func TestBrokenInstanceListIsAnError(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `null`, `{"as_of_ms":7}`, `{"as_of_ms":"x","instances":[]}`, `{"as_of_ms":7,"instances":{}}`,
		`{"as_of_ms":7,"instances":[{"id":"a","address":"10.0.0.1:80"}`, `{"as_of_ms":7,"instances":[`, `{"as_of_ms":7,"instances":[]`,
	} {
		t.Run(body, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			defer server.Close()
			_, err := NewHTTPInstances(server.URL, nil).Instances(t.Context())
			is.New(t).True(err != nil)
		})
	}
}
