// Package retryafter reads the Retry-After header of HTTP in the form of seconds.
package retryafter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// ErrValue means that the header holds no number of seconds. A date, which HTTP allows too,
// is one of these: it would depend on the other side's clock.
var ErrValue = errors.New("retryafter: no number of seconds")

// maxSeconds is the longest time that fits a duration, in seconds.
const maxSeconds = float64(math.MaxInt64 / int64(time.Second))

// Parse returns the time that a header's text tells, fractions of seconds included; an
// empty text is none.
func Parse(text string) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	tooLarge := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLarge || !(seconds >= 0) {
		return 0, fmt.Errorf("%w: %.40q", ErrValue, text)
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), nil
}
