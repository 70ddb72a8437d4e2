package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// pathOf returns the path of a request's target.
func pathOf(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i]
	}
	return uri
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// travelling returns the headers that travel with a message.
func travelling(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	named := h.Values("Connection")
	for name, values := range h {
		if slices.Contains(perConnection, name) || namedIn(named, name) {
			continue
		}
		out[name] = values
	}
	return out
}

// namedIn tells whether a Connection header names another header.
func namedIn(lists []string, name string) bool {
	for _, list := range lists {
		for word := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(word), name) {
				return true
			}
		}
	}
	return false
}
