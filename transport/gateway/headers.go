package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// stripPort returns a host without its port, if it has one.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// uriPath returns the path of a request URI.
func uriPath(uri string) string {
	if i := strings.IndexByte(uri, '?'); i >= 0 {
		return uri[:i]
	}
	return uri
}

// hopByHopHeaders lists the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns the headers of a message without the hop-by-hop headers, including those
// that its Connection header lists.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	connectionValues := h.Values("Connection")
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || listsHeader(connectionValues, name) {
			continue
		}
		out[name] = values
	}
	return out
}

// listsHeader reports whether the values of a Connection header list a header name.
func listsHeader(connectionValues []string, name string) bool {
	for _, list := range connectionValues {
		for token := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
