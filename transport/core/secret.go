package core

import (
	"net/http"

	"github.com/troutmast/troutmast/protocol/peer"
)

// RequireSecret returns a handler that serves only requests with a secret and
// counts the others as refused by name.
func (c *Core) RequireSecret(name, secret string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !peer.IsAuthorized(r.Header, secret) {
			c.Count("refused." + name)
			http.Error(w, "wrong secret", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}
