package engine

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin"
)

// CacheTransfer is the body of an export or import of cached pieces: their hashes
// and the scope in which they are valid.
type CacheTransfer struct {
	Account string `json:"account"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Incarnation is that of the exporting engine in the response to an export,
	// and that of the importing engine in an import. An import that names an
	// earlier incarnation is rejected.
	Incarnation string   `json:"incarnation"`
	Pieces      []string `json:"pieces"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req CacheTransfer
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	account := req.Account
	if account == "" {
		account = r.Header.Get("X-Client-Account")
	}
	e.mu.Lock()
	resp := CacheTransfer{Account: account, Model: e.model.name, Version: e.model.version, Incarnation: e.incarnation, Pieces: []string{}}
	for _, p := range req.Pieces {
		if h, err := parseHash(p); err == nil && e.cache.contains(account, h) {
			resp.Pieces = append(resp.Pieces, p)
		}
	}
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, resp)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req CacheTransfer
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if code := e.importPieces(req); code != "" {
		standin.WriteError(w, http.StatusConflict, code)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// importPieces caches the pieces. If it rejects them, it returns an error code.
func (e *Engine) importPieces(transfer CacheTransfer) string {
	chain := make([]prefix.Hash, 0, len(transfer.Pieces))
	for _, p := range transfer.Pieces {
		h, err := parseHash(p)
		if err != nil {
			return "wrong_piece"
		}
		chain = append(chain, h)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case transfer.Account == "":
		return "wrong_account"
	case transfer.Model != e.model.name:
		return "wrong_model"
	case transfer.Version != e.model.version:
		return codeWrongVersion
	case transfer.Incarnation != e.incarnation:
		return "wrong_incarnation"
	}
	e.storeLocked(transfer.Account, chain)
	return ""
}

func parseHash(s string) (prefix.Hash, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("piece hash: %w", err)
	}
	return prefix.Hash(n), nil
}
