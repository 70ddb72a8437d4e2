package direct

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong means that a body is longer than its reader accepts.
var ErrTooLong = errors.New("direct: body too long")

// ReadBody reads a body of at most a number of bytes. A longer one is ErrTooLong.
func ReadBody(body io.Reader, most int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, most+1))
	if err == nil && int64(len(raw)) > most {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, most)
	}
	return raw, err
}
