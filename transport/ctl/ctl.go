// Package ctl is the operators' command-line tool.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/help"
	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/protocol/rpc/rpcconnect"
	"github.com/troutmast/troutmast/transport/caller"
	"github.com/troutmast/troutmast/transport/operator"
	"github.com/troutmast/troutmast/transport/settings"
)

// Exit codes of troutctl.
const (
	ExitDone        = 0
	ExitUnreachable = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnknown     = 4
	ExitDiffers     = 5
)

// callTimeout bounds one statement.
const callTimeout = 30 * time.Second

// errUsage means the command line cannot be understood.
var errUsage = errors.New("usage")

// options are the flags of troutctl.
type options struct {
	addr     string
	secret   string
	operator string
	output   string
	id       string
	ca       string
}

// tool is one invocation.
type tool struct {
	options
	out    io.Writer
	err    io.Writer
	client rpcconnect.OperatorClient
}

// Run carries out one command line and returns the exit code.
func Run(args []string, lookup func(string) (string, bool), stdout, stderr io.Writer) int {
	o := options{addr: env(lookup, "TROUTMAST_OPERATOR", "127.0.0.1:8081"), secret: env(lookup, "TROUTMAST_OPERATOR_SECRET", ""), operator: env(lookup, "USER", "operator"), ca: env(lookup, "TROUTMAST_TLS_CA", ""), output: "table"}
	words, err := o.parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	secure, err := settings.ClientTLS(o.ca)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	t := &tool{options: o, out: stdout, err: stderr}
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: secure}}
	t.client = rpcconnect.NewOperatorClient(hc, o.baseURL(), peer.WithBearer(o.secret))
	return t.run(words)
}

// baseURL returns the URL of the node that is asked.
func (o *options) baseURL() string {
	if o.ca != "" {
		return "https://" + o.addr
	}
	return "http://" + o.addr
}

// env returns an environment variable, or a default.
func env(lookup func(string) (string, bool), name, def string) string {
	if v, ok := lookup(name); ok && v != "" {
		return v
	}
	return def
}

// parse reads the flags before the first word and returns the words.
func (o *options) parse(args []string) ([]string, error) {
	n := 0
	for n < len(args) && strings.HasPrefix(args[n], "-") {
		if !strings.Contains(args[n], "=") {
			n++
		}
		n++
	}
	n = min(n, len(args))
	p := flaggy.NewParser("troutctl")
	p.Description = "asks and commands troutmast; troutctl help lists the topics"
	p.ShowHelpOnUnexpected = false
	p.String(&o.addr, "a", "addr", "operator address of any node (TROUTMAST_OPERATOR)")
	p.String(&o.secret, "s", "secret", "operators' secret (TROUTMAST_OPERATOR_SECRET)")
	p.String(&o.operator, "u", "user", "name recorded with commands (USER)")
	p.String(&o.output, "o", "output", "table or json")
	p.String(&o.ca, "c", "ca", "file with the certificates that sign the nodes'; given, https is spoken (TROUTMAST_TLS_CA)")
	p.String(&o.id, "i", "id", "id for the command (UUIDv7); a repeat with the same id has no further effect")
	if err := p.ParseArgs(args[:n]); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if o.output != "table" && o.output != "json" {
		return nil, fmt.Errorf("%w: --output is table or json, not %q", errUsage, o.output)
	}
	if n == len(args) {
		return []string{"help"}, nil
	}
	return args[n:], nil
}

// run carries out the words of a command line.
func (t *tool) run(words []string) int {
	rest := words[1:]
	switch words[0] {
	case "help":
		return t.help(rest)
	case "check":
		return t.withFile(rest, func(parts []string) int {
			_, _ = fmt.Fprintf(t.out, "%d statements, no fault found\n", len(parts))
			return ExitDone
		})
	case "apply":
		return t.withFile(rest, t.apply)
	case "diff":
		return t.withFile(rest, t.diff)
	case "hash-key":
		if len(rest) != 1 {
			return t.usage("hash-key KEY")
		}
		_, _ = fmt.Fprintln(t.out, caller.HashKey(rest[0]))
		return ExitDone
	case "evacuations":
		return t.showEvacuations(rest)
	case "completion":
		_, _ = fmt.Fprint(t.out, completionScript())
		return ExitDone
	}
	return t.apply([]string{strings.Join(words, " ")})
}

// usage reports how a word is used.
func (t *tool) usage(how string) int {
	_, _ = fmt.Fprintf(t.err, "usage: troutctl %s\n", how)
	return ExitUsage
}

// help shows a topic of the embedded pages.
func (t *tool) help(topic []string) int {
	name := "index"
	if len(topic) > 0 {
		name = topic[0]
	}
	text, err := help.Topic(name)
	if err != nil {
		_, _ = fmt.Fprintln(t.err, err)
		return ExitUsage
	}
	_, _ = fmt.Fprint(t.out, text)
	return ExitDone
}

// withFile reads a file of statements, checks its grammar, and hands its statements on.
func (t *tool) withFile(args []string, do func(parts []string) int) int {
	if len(args) != 1 {
		return t.usage("check|diff|apply FILE")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		_, _ = fmt.Fprintln(t.err, err)
		return ExitUsage
	}
	parts, err := lang.Split(string(data))
	if err != nil {
		_, _ = fmt.Fprintf(t.err, "%s: %v\n", args[0], err)
		return ExitRefused
	}
	return do(parts)
}

// apply carries out statements one after the other, up to the first that is not accepted.
func (t *tool) apply(parts []string) int {
	for i, text := range parts {
		if code := t.execute(text); code != ExitDone {
			if len(parts) > 1 {
				_, _ = fmt.Fprintf(t.err, "stopped at statement %d of %d\n", i+1, len(parts))
			}
			return code
		}
	}
	return ExitDone
}

// execute carries out one statement and prints its answer.
func (t *tool) execute(text string) int {
	id := t.id
	if id == "" {
		v7, err := uuid.NewV7()
		if err != nil {
			_, _ = fmt.Fprintln(t.err, err)
			return ExitUsage
		}
		id = v7.String()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := t.client.Execute(ctx, connect.NewRequest(&rpc.ExecuteRequest{Text: text, Id: id, Operator: t.operator}))
	if err != nil {
		return t.lost(text, id, err)
	}
	t.print(resp.Msg)
	switch resp.Msg.GetVerdict() {
	case operator.VerdictRefused:
		return ExitRefused
	case operator.VerdictUnknown:
		return ExitUnknown
	}
	return ExitDone
}

// lost says what is certain when the node's answer did not come.
func (t *tool) lost(text, id string, err error) int {
	_, _ = fmt.Fprintf(t.err, "no answer from %s: %v\n", t.addr, err)
	if connect.CodeOf(err) == connect.CodeUnauthenticated || isQuestion(text) {
		return ExitUnreachable
	}
	_, _ = fmt.Fprintf(t.err, "if the command was sent it may take effect; ask any node: troutctl 'show command \"%s\"'\n", id)
	return ExitUnknown
}

// isQuestion reports whether a text cannot change anything.
func isQuestion(text string) bool {
	s, err := lang.Parse(text)
	return err != nil || (len(s.Statements) == 1 && (s.Statements[0].Show != nil || s.Statements[0].Why != nil))
}
