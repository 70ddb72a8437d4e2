package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/internal/tcpstate"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// defaultTokens is the expected length of an answer that names no limit.
const defaultTokens = 256

// bytesPerToken is how many bytes of a body are taken as one token.
const bytesPerToken = 4

// maxRequestID bounds the id that a caller may choose.
const maxRequestID = 128

// request is what the node knows of one caller's request.
type request struct {
	id       string
	team     *state.Team
	share    state.Share
	deadline time.Time
	method   string
	path     string
	kind     string
	body     []byte
	// forwarded is set when another node has already passed the request on.
	forwarded bool
	// conn is the caller's connection, or nil once the request no longer depends on its caller.
	conn *tcpstate.Conn

	model  string
	stream bool
	tokens int64
	prefix []uint64

	key string

	// identity names the request alike for all its attempts, lives are those of the
	// instances that it was last sent to, at sentAt.
	identity quarantine.Request
	lives    []fleet.Incarnation
	sentAt   time.Time
	// isSent is set once a send of the request has been tried.
	isSent bool
}

// completion is the part of a completion's body that routing looks at.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int64  `json:"max_tokens"`
}

// HashKey returns the stored form of a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// errCallerLeft means that a request was not sent because its caller has closed the connection. After a freeze a node reads a
// request and the end of its connection at the same time.
var errCallerLeft = errors.New("caller: the caller has left")

// checkCaller returns errCallerLeft if the caller has closed its connection and the request does not go on without it.
func (q *request) checkCaller() error {
	if q.conn.HasPeerClosed() {
		return errCallerLeft
	}
	return nil
}

// nextSend returns the call of the next send of the request. A further send uses a connection of its own, since a target may not
// repeat the ID of the exchange and the late copy of a response to an earlier send has the same request ID.
func (q *request) nextSend(call target.Call) target.Call {
	call.NewConnection = call.NewConnection || q.isSent
	q.isSent = true
	return call
}

// digest tells one call from another that is sent with the same key or ticket.
func (q *request) digest() string { return HashKey(q.method + " " + q.path + "\n" + string(q.body)) }

// begin reads what every request has: id, team, time and body.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, forwarded bool) (*request, *Failure) {
	q := &request{
		id:        requestID(r),
		method:    r.Method,
		path:      r.URL.RequestURI(),
		kind:      r.Header.Get("Content-Type"),
		forwarded: forwarded,
		conn:      tcpstate.FromContext(r.Context()),
		key:       r.Header.Get("Idempotency-Key"),
	}
	if f := s.setTeam(q, r); f != nil {
		return q, f
	}
	timeout, err := s.timeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return q, notRun(http.StatusBadRequest, CodeBadRequest, "%s: %v", HeaderTimeout, err)
	}
	q.deadline = s.c.Clock.Now().Add(timeout)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.c.Settings.MaxBody)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return q, notRun(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "more than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return q, notRun(http.StatusBadRequest, CodeBadRequest, "the body could not be read")
	}
	q.body = body
	q.identity.Fingerprint = quarantine.NewFingerprint(quarantine.Content{Method: q.method, Target: q.path, Caller: string(q.team.Name), Body: q.body})
	return q, nil
}

// requestID returns the caller's id if it can be used, else a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	usable := id != "" && len(id) <= maxRequestID && !strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' })
	if usable {
		return id
	}
	return uuid.NewString()
}

// timeout returns the time that a request may take.
func (s *Server) timeout(text string) (time.Duration, error) {
	if text == "" {
		return s.c.Settings.DefaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.New("give a duration above zero, such as 30s")
	}
	return min(d, s.c.Settings.MaxTimeout), nil
}

// setTeam finds the team by the caller's key, or by its name for a request that another node passed on.
func (s *Server) setTeam(q *request, r *http.Request) *Failure {
	if !s.c.HasState() {
		return notRun(http.StatusServiceUnavailable, CodeNoState, "the node has not read its state yet")
	}
	view := s.c.Follower.View()
	if q.forwarded {
		name := state.TeamName(r.Header.Get(headerTeam))
		for _, t := range view.TeamsByKeyHash {
			if t.Name == name {
				q.team = t
			}
		}
	} else if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		q.team = view.TeamsByKeyHash[HashKey(key)]
	}
	if q.team == nil {
		return notRun(http.StatusUnauthorized, CodeUnauthorized, "no team has this key")
	}
	q.share = q.team.Halls[s.c.Directory.Self().Hall]
	return nil
}

// readCompletion reads the body of a completion.
func (q *request) readCompletion() *Failure {
	var c completion
	if err := json.Unmarshal(q.body, &c); err != nil {
		return notRun(http.StatusBadRequest, CodeBadRequest, "the body is no JSON object of a completion: %v", err)
	}
	if c.Model == "" {
		return notRun(http.StatusBadRequest, CodeBadRequest, "no model named")
	}
	q.model, q.stream = c.Model, c.Stream
	answer := int64(defaultTokens)
	if c.MaxTokens > 0 {
		answer = c.MaxTokens
	}
	q.tokens = int64(len(q.body)/bytesPerToken) + answer
	q.prefix = routing.HashPrefix(q.body)
	q.identity.Parts = quarantine.NewChunkFingerprints(q.body)
	return nil
}
