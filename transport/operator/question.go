package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state"
)

// hallColumn is the column by which the rows of several halls are told apart.
const hallColumn = "hall"

// table collects the rows of an answer.
type table struct {
	columns []string
	rows    [][]string
}

// add appends a row.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// sort puts the rows in the order of their cells.
func (t *table) sort() { slices.SortFunc(t.rows, slices.Compare) }

// message returns the table as an answer.
func (t *table) message() *rpc.ExecuteResponse {
	m := &rpc.Table{Columns: t.columns}
	for _, r := range t.rows {
		m.Rows = append(m.Rows, &rpc.Row{Cells: r})
	}
	return &rpc.ExecuteResponse{Table: m}
}

// Answer answers a question from what this node knows alone.
func (s *Server) Answer(ctx context.Context, text string) (*rpc.ExecuteResponse, error) {
	script, err := lang.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(script.Statements) != 1 || (script.Statements[0].Show == nil && script.Statements[0].Why == nil) {
		return nil, fmt.Errorf("%w: one question is answered at a time", lang.ErrSyntax)
	}
	return s.question(ctx, script.Statements[0], text, false)
}

// question answers a question; with everywhere, nodes of the other halls are asked for what only they know.
func (s *Server) question(ctx context.Context, st *lang.Statement, text string, everywhere bool) (*rpc.ExecuteResponse, error) {
	s.c.Count("questions")
	if st.Why != nil {
		return s.why(ctx, st.Why, text, everywhere)
	}
	t, perHall, err := s.show(st.Show)
	if err != nil {
		return nil, err
	}
	if perHall && everywhere {
		s.gather(ctx, t, text)
	}
	if err := t.filter(st.Show.Where); err != nil {
		return nil, err
	}
	return t.message(), nil
}

// gather replaces the rows of other halls by what a node of each hall says.
func (s *Server) gather(ctx context.Context, t *table, text string) {
	col := slices.Index(t.columns, hallColumn)
	asked := map[state.HallName]bool{s.c.Settings.Hall: true}
	for _, n := range s.c.Directory.LivePeers("", s.c.Clock.Now()) {
		if asked[n.Hall] {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		resp, err := s.c.Peers.ClientFor(n.Address).Ask(ctx, connect.NewRequest(&rpc.ExecuteRequest{Text: text}))
		cancel()
		if err != nil {
			continue
		}
		asked[n.Hall] = true
		t.rows = slices.DeleteFunc(t.rows, func(r []string) bool { return r[col] == string(n.Hall) })
		for _, r := range resp.Msg.GetTable().GetRows() {
			if r.GetCells()[col] == string(n.Hall) {
				t.rows = append(t.rows, r.GetCells())
			}
		}
	}
}

// filter keeps the rows that meet all conditions.
func (t *table) filter(where []*lang.Condition) error {
	for _, c := range where {
		col := slices.Index(t.columns, c.Column)
		if col < 0 {
			return fmt.Errorf("no column %s; there are %s", c.Column, strings.Join(t.columns, ", "))
		}
		t.rows = slices.DeleteFunc(t.rows, func(r []string) bool { return !holds(r[col], c.Op, c.Value) })
	}
	return nil
}

// holds compares a cell with a value, as numbers when both are numbers.
func holds(cell, op, value string) bool {
	order := strings.Compare(cell, value)
	a, errA := strconv.ParseFloat(cell, 64)
	b, errB := strconv.ParseFloat(value, 64)
	if errA == nil && errB == nil {
		order = compareFloats(a, b)
	}
	switch op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

// compareFloats returns -1, 0 or 1.
func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
