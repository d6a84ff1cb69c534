package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRoutesShareAPathByModel(t *testing.T) {
	const second = `
[model "short"]
version = 1
[pool "short"]
kind = engine
model = short
[route "short"]
path = /v1/chat/completions
pool = short
`
	const service = `
[pool "plain"]
kind = service
[route "plain"]
path = /v1/chat/completions
pool = plain
`
	cases := map[string]struct{ add, want string }{
		"another model":          {second, ""},
		"the same model":         {strings.Replace(second, "model = short", "model = report.7b", 1), "a path and model of its own"},
		"a service on the path":  {service, "a path of pools of one kind"},
		"two routes to one pool": {"[route \"again\"]\npath = /v1/chat/completions\npool = reports\n", "a path and model of its own"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Build(map[string][]byte{"a.ini": []byte(goodFile + c.add)})
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil && strings.Contains(err.Error(), c.want))
		})
	}
}
