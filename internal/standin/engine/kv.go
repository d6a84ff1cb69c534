package engine

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin"
)

// KV is what moves between engines: the names of cached pieces and the scope
// they may be used in.
type KV struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Incarnation is the source's in an export's answer, and the importing
	// engine's in an import: one meant for an earlier incarnation of it is
	// refused.
	Incarnation string   `json:"incarnation"`
	Pieces      []string `json:"pieces"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req KV
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	account := req.Account
	if account == "" {
		account = r.Header.Get("X-Client-Account")
	}
	e.mu.Lock()
	ans := KV{Account: account, Model: e.weights.model, Version: e.weights.version, Incarnation: e.incarnation, Pieces: []string{}}
	for _, p := range req.Pieces {
		if h, err := parseHash(p); err == nil && e.cache.has(account, h) {
			ans.Pieces = append(ans.Pieces, p)
		}
	}
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, ans)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req KV
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if code := e.importPieces(req); code != "" {
		standin.WriteError(w, http.StatusConflict, code)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// importPieces caches the pieces, or returns why not.
func (e *Engine) importPieces(kv KV) string {
	chain := make([]prefix.Hash, 0, len(kv.Pieces))
	for _, p := range kv.Pieces {
		h, err := parseHash(p)
		if err != nil {
			return "wrong_piece"
		}
		chain = append(chain, h)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case kv.Account == "":
		return "wrong_account"
	case kv.Model != e.weights.model:
		return "wrong_model"
	case kv.Version != e.weights.version:
		return codeWrongVersion
	case kv.Incarnation != e.incarnation:
		return "wrong_incarnation"
	}
	e.storeLocked(kv.Account, chain)
	return ""
}

func parseHash(s string) (prefix.Hash, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("piece hash: %w", err)
	}
	return prefix.Hash(n), nil
}
