// Package lang is the operators' language: questions and commands, as typed by
// an operator or kept in a configuration file.
package lang

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// ErrSyntax means a text is not of the language; the message names line, column and what was expected.
var ErrSyntax = errors.New("syntax error")

// MaxTextBytes bounds the text of one request or file.
const MaxTextBytes = 1 << 20

// Script is a sequence of statements.
type Script struct {
	Statements []*Statement `parser:"';'* ( @@ ( ';'+ | EOF ) )*"`
}

// Statement is one question, one command, or a batch of commands.
type Statement struct {
	Pos     lexer.Position
	Batch   *Batch   `parser:"(  @@"`
	Show    *Show    `parser:" | 'show' @@"`
	Why     *Why     `parser:" | 'why' @@"`
	Command *Command `parser:" | @@ )"`
}

// Batch is a sequence of commands that take effect all or not at all.
type Batch struct {
	Commands []*Command `parser:"'begin' ';' ( @@ ';'+ )* 'commit'"`
}

// Show asks for a table.
type Show struct {
	What  string       `parser:"(  @( 'groups' | 'instances' | 'teams' | 'services' | 'nodes' | 'commands' | 'limits' | 'policy' | 'measures' | 'halls' )"`
	One   string       `parser:" | @( 'group' | 'command' )"`
	Name  string       `parser:"   @( Name | String ) )"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column string `parser:"@Name"`
	Op     string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value  string `parser:"@( Name | String | Number | Duration )"`
}

// Why asks for the recorded reason of something.
type Why struct {
	What string `parser:"@( 'group' | 'instance' | 'request' | 'command' )"`
	Name string `parser:"@( Name | String )"`
}

// Command is one change of the agreed state.
type Command struct {
	Pos           lexer.Position
	CreateGroup   *CreateGroup   `parser:"(  'create' ( 'group' @@"`
	CreateTeam    *CreateTeam    `parser:"            | 'team' @@"`
	CreateService *CreateService `parser:"            | 'service' @@ )"`
	Bind          *Bind          `parser:" | 'bind' 'group' @@"`
	Unbind        *Unbind        `parser:" | 'unbind' 'group' @@"`
	Allow         *Allow         `parser:" | 'allow' 'team' @@"`
	Deny          *Deny          `parser:" | 'deny' 'team' @@"`
	Drain         *string        `parser:" | 'drain' 'group' @( Name | String )"`
	Undrain       *string        `parser:" | 'undrain' 'group' @( Name | String )"`
	Release       *string        `parser:" | 'release' 'group' @( Name | String )"`
	Move          *Move          `parser:" | 'move' 'group' @@"`
	SetPolicy     *SetPolicy     `parser:" | 'set' 'policy' @@"`
	Evacuate      *string        `parser:" | 'evacuate' 'hall' @( Name | String )"`
	Readmit       *string        `parser:" | 'readmit' 'hall' @( Name | String )"`
	Void          *string        `parser:" | 'void' @( Name | String ) )"`
}

// Binding names a model, its version and its adapters.
type Binding struct {
	Model    string   `parser:"'model' @( Name | String )"`
	Version  string   `parser:"( 'version' @( Name | String | Number ) )?"`
	Adapters []string `parser:"( 'adapters' @( Name | String ) ( ',' @( Name | String ) )* )?"`
}

// CreateGroup forms a group of named instances, or of a number of free ones.
type CreateGroup struct {
	Name    string   `parser:"@( Name | String )"`
	Binding Binding  `parser:"@@"`
	Gate    string   `parser:"( 'gate' @( 'strict' | 'window' ) )?"`
	With    []string `parser:"(  'with' @( Name | String ) ( ',' @( Name | String ) )*"`
	Size    int      `parser:" | 'size' @Number"`
	Hall    string   `parser:"   'in' @( Name | String ) )"`
}

// CreateTeam adds a team with the SHA-256 of its keys.
type CreateTeam struct {
	Name string   `parser:"@( Name | String )"`
	Keys []string `parser:"'key' @( Name | String ) ( ',' @( Name | String ) )*"`
}

// CreateService binds instances to a plain service.
type CreateService struct {
	Name string   `parser:"@( Name | String )"`
	At   []string `parser:"'at' @( Name | String ) ( ',' @( Name | String ) )*"`
	Keys string   `parser:"'keys' @( 'claimed' | 'checked' )"`
}

// Bind changes what a group serves.
type Bind struct {
	Group   string  `parser:"@( Name | String )"`
	Binding Binding `parser:"@@"`
}

// Unbind takes adapters from a group.
type Unbind struct {
	Group    string   `parser:"@( Name | String )"`
	Adapters []string `parser:"'adapters' @( Name | String ) ( ',' @( Name | String ) )*"`
}

// Allow lets a team use a data hall.
type Allow struct {
	Team     string `parser:"@( Name | String ) 'in'"`
	Hall     string `parser:"@( Name | String )"`
	Places   int    `parser:"'places' @Number"`
	Priority string `parser:"( 'priority' @( 'alert' | 'normal' | 'batch' ) )?"`
}

// Deny takes a data hall from a team.
type Deny struct {
	Team string `parser:"@( Name | String ) 'in'"`
	Hall string `parser:"@( Name | String )"`
}

// Move puts another instance in the seat of a member.
type Move struct {
	Group string `parser:"@( Name | String )"`
	From  string `parser:"'from' @( Name | String )"`
	To    string `parser:"'to' @( Name | String )"`
}

// SetPolicy replaces the repair policy.
type SetPolicy struct {
	Downtime  float64 `parser:"'downtime' @Number"`
	Stranded  float64 `parser:"'stranded' @Number"`
	Restart   Span    `parser:"'restart' @Duration"`
	Load      Span    `parser:"'load' @Duration"`
	Automatic string  `parser:"( 'automatic' @( 'on' | 'off' ) )?"`
}

// Span is a duration such as 90s or 2m.
type Span time.Duration

// Capture implements participle.Capture.
func (s *Span) Capture(values []string) error {
	d, err := time.ParseDuration(values[0])
	*s = Span(d)
	return err
}

// tokens is the lexer of the language.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Duration", Pattern: `\d+(\.\d+)?(ms|s|m|h)\b`},
	{Name: "Name", Pattern: `[A-Za-z_][A-Za-z0-9_./:-]*|[0-9]+[A-Za-z_-][A-Za-z0-9_./:-]*`},
	{Name: "Number", Pattern: `\d+(\.\d+)?`},
	{Name: "Punct", Pattern: `!=|<=|>=|[;,=<>]`},
})

// parser reads scripts.
var parser = participle.MustBuild[Script](
	participle.Lexer(tokens),
	participle.Elide("comment", "space"),
	participle.Map(unquote, "String"),
	participle.UseLookahead(3),
)

// unquote takes the quotes off a string; what follows a backslash stands for itself in Go's way.
func unquote(t lexer.Token) (lexer.Token, error) {
	text, err := strconv.Unquote(t.Value)
	if err != nil {
		return t, participle.Errorf(t.Pos, "bad string %s", t.Value)
	}
	t.Value = text
	return t, nil
}

// Parse reads a script; an error names line, column and what was expected.
func Parse(text string) (*Script, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are read", ErrSyntax, len(text), MaxTextBytes)
	}
	s, err := parser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var perr participle.Error
	if errors.As(err, &perr) {
		return nil, fmt.Errorf("%w: line %d, column %d: %s", ErrSyntax, perr.Position().Line, perr.Position().Column, strings.TrimPrefix(perr.Message(), "lexer: "))
	}
	return nil, fmt.Errorf("%w: %w", ErrSyntax, err)
}

// Split returns the text of each statement of a script that can be parsed.
func Split(text string) ([]string, error) {
	s, err := Parse(text)
	if err != nil {
		return nil, err
	}
	parts := make([]string, len(s.Statements))
	for i, st := range s.Statements {
		end := len(text)
		if i+1 < len(s.Statements) {
			end = s.Statements[i+1].Pos.Offset
		}
		parts[i] = text[st.Pos.Offset:end]
	}
	return parts, nil
}
