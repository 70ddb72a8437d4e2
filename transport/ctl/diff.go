package ctl

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/protocol/rpc"
)

// row is one row of a table, by column.
type row map[string]string

// errAsk means that a question was not answered.
var errAsk = errors.New("the node did not answer")

// diff compares the statements of a file with what is in force and prints those that would change it.
func (t *tool) diff(parts []string) int {
	differs := 0
	for _, text := range parts {
		script, err := lang.Parse(text)
		if err != nil {
			_, _ = fmt.Fprintln(t.err, err)
			return ExitRefused
		}
		for _, c := range commandsOf(script) {
			change, err := t.compare(c)
			if err != nil {
				_, _ = fmt.Fprintln(t.err, err)
				return ExitUnreachable
			}
			if change != "" {
				differs++
				_, _ = fmt.Fprintln(t.out, change)
			}
		}
	}
	if differs > 0 {
		return ExitDiffers
	}
	_, _ = fmt.Fprintln(t.out, "nothing would change")
	return ExitDone
}

// commandsOf returns the commands of a script, those inside batches too.
func commandsOf(script *lang.Script) []*lang.Command {
	var list []*lang.Command
	for _, st := range script.Statements {
		if st.Batch != nil {
			list = append(list, st.Batch.Commands...)
		}
		if st.Command != nil {
			list = append(list, st.Command)
		}
	}
	return list
}

// compare says what a command would change, or "".
func (t *tool) compare(c *lang.Command) (string, error) {
	switch {
	case c.CreateGroup != nil:
		g := c.CreateGroup
		want := bindingRow(g.Binding)
		want["gate"] = or(g.Gate, "window")
		if len(g.With) > 0 {
			want["members"] = strings.Join(g.With, " ")
		}
		return t.compareRow("groups", row{"group": g.Name}, want)
	case c.Bind != nil:
		return t.compareRow("groups", row{"group": c.Bind.Group}, bindingRow(c.Bind.Binding))
	case c.CreateTeam != nil:
		return t.compareRow("teams", row{"team": c.CreateTeam.Name}, row{"keys": strconv.Itoa(len(c.CreateTeam.Keys))})
	case c.Allow != nil:
		a := c.Allow
		return t.compareRow("teams", row{"team": a.Team, "hall": a.Hall}, row{"places": strconv.Itoa(a.Places), "priority": or(a.Priority, "normal")})
	case c.CreateService != nil:
		s := c.CreateService
		return t.compareRow("services", row{"service": s.Name}, row{"instances": strings.Join(s.At, " "), "keys": s.Keys})
	case c.Evacuate != nil:
		return t.compareRow("halls", row{"hall": *c.Evacuate}, row{"state": "evacuated"})
	case c.Readmit != nil:
		return t.compareRow("halls", row{"hall": *c.Readmit}, row{"state": "admitted"})
	case c.SetPolicy != nil:
		p := c.SetPolicy
		return t.compareRow("policy", row{}, row{
			"downtime": fmt.Sprint(p.Downtime), "stranded": fmt.Sprint(p.Stranded),
			"restart": time.Duration(p.Restart).String(), "load": time.Duration(p.Load).String(),
			"automatic": strconv.FormatBool(p.Automatic != "off"),
		})
	}
	return fmt.Sprintf("! line %d: this statement is always carried out", c.Pos.Line), nil
}

// bindingRow returns the columns that a binding sets.
func bindingRow(b lang.Binding) row {
	return row{"model": b.Model, "version": b.Version, "adapters": strings.Join(b.Adapters, " ")}
}

// or returns a text, or a default for an empty one.
func or(text, def string) string {
	if text == "" {
		return def
	}
	return text
}

// compareRow looks for the row with the key and says in what it differs from what is wanted.
func (t *tool) compareRow(table string, key, want row) (string, error) {
	rows, err := t.rows("show " + table)
	if err != nil {
		return "", err
	}
	i := slices.IndexFunc(rows, func(r row) bool { return contains(r, key) })
	if i < 0 {
		return fmt.Sprintf("+ %s %s", table, describe(key, want)), nil
	}
	var changes []string
	for col, value := range want {
		if rows[i][col] != value {
			changes = append(changes, fmt.Sprintf("%s %q -> %q", col, rows[i][col], value))
		}
	}
	if len(changes) == 0 {
		return "", nil
	}
	slices.Sort(changes)
	return fmt.Sprintf("~ %s %s: %s", table, describe(key), strings.Join(changes, ", ")), nil
}

// contains reports whether a row holds all of a key.
func contains(r, key row) bool {
	for col, value := range key {
		if r[col] != value {
			return false
		}
	}
	return true
}

// describe returns columns and values in a fixed order.
func describe(rows ...row) string {
	var parts []string
	for _, r := range rows {
		var some []string
		for col, value := range r {
			some = append(some, col+"="+strconv.Quote(value))
		}
		slices.Sort(some)
		parts = append(parts, some...)
	}
	return strings.Join(parts, " ")
}

// rows asks a question and returns its rows.
func (t *tool) rows(question string) ([]row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := t.client.Execute(ctx, connect.NewRequest(&rpc.ExecuteRequest{Text: question}))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAsk, err)
	}
	return rowsOf(resp.Msg.GetTable()), nil
}

// rowsOf returns the rows of a table by column.
func rowsOf(table *rpc.Table) []row {
	list := make([]row, 0, len(table.GetRows()))
	for _, r := range table.GetRows() {
		one := row{}
		for i, c := range r.GetCells() {
			one[table.GetColumns()[i]] = c
		}
		list = append(list, one)
	}
	return list
}
