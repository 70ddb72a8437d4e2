package direct

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status code of HTTP (RFC 9110, section 15). Codes above it have no meaning that a caller could rely on.
const maxStatus = 599

// IsFinalStatus reports whether a status code is that of a final response. net/http returns any code of three digits.
func IsFinalStatus(code int) bool { return code >= http.StatusOK && code <= maxStatus }

// isInformational reports whether a status code is that of a response before the final one. No request asks for an upgrade, so that no other
// protocol may follow on the connection.
func isInformational(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}

// checkHead returns an error unless the head of a response is one of HTTP/1.0 or HTTP/1.1 with a status code of HTTP.
func checkHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %d.%d", ErrInvalidResponse, resp.ProtoMajor, resp.ProtoMinor)
	case !IsFinalStatus(resp.StatusCode) && !isInformational(resp.StatusCode):
		return fmt.Errorf("%w: status %d", ErrInvalidResponse, resp.StatusCode)
	}
	return nil
}
