package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/troutmast/troutmast/protocol/target"
)

// defaultAnswerTokens is the length of an answer that names no limit.
const defaultAnswerTokens = 16

// completionBody is the part of a completion that the stand-in looks at.
type completionBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// Token returns the i-th token of the answer to a body; it depends on nothing else.
func Token(body []byte, i int) string {
	h := fnv.New32a()
	_, _ = h.Write(body)
	return fmt.Sprintf("w%d-%x ", i, h.Sum32()+uint32(i))
}

// Answer returns the whole answer to a body.
func Answer(body []byte, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(body, i))
	}
	return b.String()
}

// complete answers a completion, whole or streamed.
func (t *Target) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var c completionBody
	if err != nil || json.Unmarshal(body, &c) != nil {
		http.Error(w, "bad completion", http.StatusBadRequest)
		return
	}
	f, ok := t.admit(w, r)
	if !ok {
		return
	}
	defer t.leave()
	if t.cfg.CrashOn != "" && bytes.Contains(body, []byte(t.cfg.CrashOn)) {
		t.cfg.Crash()
	}
	time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultAnswerTokens
	}
	if c.Stream {
		t.stream(w, r, body, c.MaxTokens)
		return
	}
	t.wait(r, time.Duration(c.MaxTokens)*t.cfg.TokenDelay)
	t.finish(w, "application/json", wholeAnswer(r.Header.Get(target.HeaderRequestID), c.Model, Answer(body, c.MaxTokens)), f)
}

// wait pauses, or returns early when the caller has gone.
func (t *Target) wait(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// wholeAnswer returns a completion in the customary shape.
func wholeAnswer(id, model, text string) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index   int     `json:"index"`
		Message message `json:"message"`
	}
	data, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{id, "chat.completion", model, []choice{{0, message{"assistant", text}}}})
	return data
}

// swap returns the previous answer and puts it under its own id.
func (t *Target) swap(w http.ResponseWriter, data []byte, f TargetFaults) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := w.Header().Get(target.HeaderRequestID)
	if f.Swap && t.last != nil {
		w.Header().Set(target.HeaderRequestID, t.lastID)
		data = t.last
	}
	if !f.Swap {
		t.lastID, t.last = id, data
	}
	return data
}

// finish sends a whole answer, or what the faults leave of it.
func (t *Target) finish(w http.ResponseWriter, kind string, data []byte, f TargetFaults) {
	data = t.swap(w, data, f)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Truncate {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// stream sends the answer token by token, from where it is to be resumed.
func (t *Target) stream(w http.ResponseWriter, r *http.Request, body []byte, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(target.HeaderResumeTokens))
	for i := from; i < tokens; i++ {
		t.wait(r, t.cfg.TokenDelay)
		if r.Context().Err() != nil {
			return
		}
		t.mu.Lock()
		stop := t.faults.StopAfter
		t.mu.Unlock()
		if stop > 0 && i-from >= stop {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", r.Header.Get(target.HeaderRequestID), Token(body, i))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// serve answers a call of a plain service with what it was sent.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, ok := t.admit(w, r)
	if !ok {
		return
	}
	defer t.leave()
	time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	var buf bytes.Buffer
	_ = json.NewEncoder(&buf).Encode(map[string]string{
		"instance": string(t.cfg.ID),
		"request":  r.Header.Get(target.HeaderRequestID),
		"path":     r.URL.Path,
		"body":     string(body),
	})
	t.finish(w, "application/json", buf.Bytes(), f)
}
