package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/troutmast/troutmast/help"
	"github.com/troutmast/troutmast/protocol/rpc"
)

// print shows an answer in the chosen form.
func (t *tool) print(resp *rpc.ExecuteResponse) {
	switch {
	case t.output == "json":
		t.printJSON(resp)
	case resp.GetTable() != nil:
		t.printTable(resp.GetTable())
	default:
		t.printVerdict(resp)
	}
}

// printTable shows a table in columns.
func (t *tool) printTable(table *rpc.Table) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(table.GetColumns(), "\t")))
	for _, r := range table.GetRows() {
		_, _ = fmt.Fprintln(w, strings.Join(r.GetCells(), "\t"))
	}
	_ = w.Flush()
}

// printVerdict shows what became of a command.
func (t *tool) printVerdict(resp *rpc.ExecuteResponse) {
	_, _ = fmt.Fprint(t.out, resp.GetVerdict())
	if resp.GetOffset() > 0 {
		_, _ = fmt.Fprintf(t.out, " at %d", resp.GetOffset())
	}
	if resp.GetReason() != "" {
		_, _ = fmt.Fprintf(t.out, ": %s: %s", resp.GetReason(), resp.GetDetail())
	}
	if n := len(resp.GetInForce()); n > 0 {
		_, _ = fmt.Fprintf(t.out, ", in force on %d of %d", n, n+len(resp.GetBehind()))
	}
	if resp.GetId() != "" {
		_, _ = fmt.Fprintf(t.out, " (id %s)", resp.GetId())
	}
	_, _ = fmt.Fprintln(t.out)
	for _, b := range resp.GetBehind() {
		_, _ = fmt.Fprintf(t.out, "behind: %s\n", b)
	}
}

// answer is the JSON form of an answer.
type answer struct {
	Verdict string   `json:"verdict,omitempty"`
	Reason  string   `json:"reason,omitempty"`
	Detail  string   `json:"detail,omitempty"`
	ID      string   `json:"id,omitempty"`
	Offset  uint64   `json:"offset,omitempty"`
	InForce []string `json:"in_force,omitempty"`
	Behind  []string `json:"behind,omitempty"`
	Rows    []row    `json:"rows,omitempty"`
}

// printJSON shows an answer as one JSON object.
func (t *tool) printJSON(resp *rpc.ExecuteResponse) {
	a := answer{
		Verdict: resp.GetVerdict(), Reason: resp.GetReason(), Detail: resp.GetDetail(),
		ID: resp.GetId(), Offset: resp.GetOffset(), InForce: resp.GetInForce(), Behind: resp.GetBehind(),
	}
	a.Rows = rowsOf(resp.GetTable())
	_ = json.NewEncoder(t.out).Encode(a)
}

// completionScript returns a bash completion of the first words.
func completionScript() string {
	words := append([]string{
		"show", "why", "create", "bind", "unbind", "allow", "deny", "drain", "undrain",
		"release", "move", "set", "evacuate", "readmit", "evacuations", "void", "check", "diff", "apply", "hash-key", "completion", "help",
	}, help.Topics()...)
	return fmt.Sprintf("complete -W %q troutctl\n", strings.Join(words, " "))
}
