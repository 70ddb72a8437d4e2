package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hostOnly returns the host of a host and optional port.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// pathOf returns the path of a request URI.
func pathOf(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i]
	}
	return uri
}

// perConnection lists the hop-by-hop headers, which are not forwarded.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// travelling returns the end-to-end headers of a message, without those that its Connection header lists.
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

// namedIn reports whether the values of a Connection header list a header name.
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
