package main

import "time"

const (
	// configApply is the bound config-apply-ms of the site.
	configApply = 2 * time.Second
	// sharedParts are the parts that prompts of both tenants begin with.
	sharedPartA, sharedPartB = "5c1e07a2:800", "91bd3f06:410"
	promptsOfEach            = 30
)

// playIsolation sends prompts of two tenants with the same leading parts. Between them a new
// configuration isolates the first tenant.
func playIsolation(w *world) (bool, error) {
	uses := make(chan reuse, 10000)
	// Without the disruption the tenant is isolated from the beginning, and the configuration
	// doesn't change.
	w.store.Put("keyed.op", "config", isolationConfig(1, !w.trouble))
	zones := []string{"z1", "z2", "z3"}
	for _, zone := range zones {
		for _, n := range []string{"a", "b"} {
			if err := newModelServer(w, "engine-"+zone+n, zone, func(u reuse) { uses <- u }); err != nil {
				return false, err
			}
		}
	}
	if err := w.addInstances(zones...); err != nil {
		return false, err
	}
	time.Sleep(stable + stableMargin)
	if !sendAll(w, "walled", "key-walled") {
		w.note("not all prompts of the tenant walled were answered")
	}
	isolatedAt := time.Now()
	if w.trouble {
		w.store.Put("keyed.op", "config", isolationConfig(2, true))
		isolatedAt = time.Now()
		w.note("the store has acknowledged version 2 of the config: the tenant walled is isolated")
	}
	time.Sleep(configApply + time.Second)
	if !sendAll(w, "other", "key-other") {
		w.note("not all prompts of the tenant other were answered")
	}
	broken := 0
	for len(uses) > 0 {
		u := <-uses
		if u.tenant == u.madeBy.maker {
			continue
		}
		if u.at.Sub(isolatedAt) > configApply {
			broken++
			w.note("request %s of tenant %s used part %s of the KV cache that request %s of the isolated tenant %s made", u.attempt, u.tenant, u.part, u.madeBy.attempt, u.madeBy.maker)
		}
	}
	w.note("parts of the KV cache of the isolated tenant that requests of the other tenant used: %d", broken)
	return broken > 0, nil
}

// sendAll sends prompts of a tenant to all machines in turn, and reports whether all were answered.
func sendAll(w *world, tenant, key string) bool {
	complete := true
	for n := range promptsOfEach {
		i := w.instances[n%len(w.instances)]
		q := prompt(w, tenant, key, sharedPartA, sharedPartB)
		a := i.send(q)
		w.note("prompt %s of tenant %s to %s: answer %d, %d bytes", q.id, tenant, i.name, a.status, len(a.body))
		complete = complete && a.status == 200 && a.err == nil
		time.Sleep(50 * time.Millisecond)
	}
	return complete
}

func isolationConfig(version int, isolated bool) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{promptsRoute()}, "services": []any{enginesConfig()},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{
			map[string]any{"name": "walled", "api-keys": []string{"key-walled"}, "priority": 1, "unit": "token_accounting", "uncached-tokens": 200, "isolated": isolated, "rate-per-s": 217541, "burst": 217541},
			map[string]any{"name": "other", "api-keys": []string{"key-other"}, "priority": 1, "unit": "token_accounting", "uncached-tokens": 200, "isolated": false, "rate-per-s": 217541, "burst": 217541},
		},
	}
}
