// Package settings reads and checks the settings of troutmastd: flags over
// environment variables over defaults.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/state"
)

// ErrSettings means that one or more settings cannot be used.
var ErrSettings = errors.New("settings")

// Settings is everything that a daemon is told at its start.
type Settings struct {
	Name     string
	Hall     state.HallName
	Callers  netip.AddrPort
	Operator netip.AddrPort
	Peer     netip.AddrPort
	// Advertise is where other nodes reach this one, if not at Peer.
	Advertise netip.AddrPort
	Peers     []netip.AddrPort
	Platform  netip.AddrPort

	OperatorSecret string
	PeerSecret     string

	ProbeInterval    time.Duration
	EvidenceWindow   time.Duration
	ExchangeInterval time.Duration
	ListInterval     time.Duration
	Behind           time.Duration
	DefaultTimeout   time.Duration
	MaxTimeout       time.Duration
	StopLag          time.Duration
	AppendRate       float64
	MaxLoads         int
	MaxBody          int
	HeldCost         float64
	TokenCost        float64
	RecentCost       float64
	PrefixGain       float64
	SnapshotEvery    int
	CertFile         string
	KeyFile          string
	CAFile           string
	LogLevel         string
}

// Setting describes one setting: how it is named, and how its text is read.
type Setting struct {
	Flag    string
	Env     string
	Default string
	Help    string
	// Secret settings are never shown.
	Secret bool
	set    func(text string) error
}

// Table returns the settings in the order in which they are documented, bound to s.
func (s *Settings) Table() []*Setting {
	return []*Setting{
		{Flag: "name", Default: "", Help: "name of this node, unique among all", set: text(&s.Name)},
		{Flag: "hall", Default: "", Help: "data hall of this node", set: text((*string)(&s.Hall))},
		{Flag: "callers", Default: "127.0.0.1:8080", Help: "ip:port for callers", set: addr(&s.Callers)},
		{Flag: "operator", Default: "127.0.0.1:8081", Help: "ip:port for troutctl", set: addr(&s.Operator)},
		{Flag: "peer", Default: "127.0.0.1:8082", Help: "ip:port for other nodes", set: addr(&s.Peer)},
		{Flag: "advertise", Default: "none", Help: "ip:port at which other nodes reach this one, or none for --peer", set: optionalAddr(&s.Advertise)},
		{Flag: "peers", Default: "none", Help: "ip:port of other nodes, separated by commas, or none", set: addrs(&s.Peers)},
		{Flag: "platform", Default: "127.0.0.1:8090", Help: "ip:port of the platform", set: addr(&s.Platform)},
		{Flag: "operator-secret", Default: "", Help: "secret that operators send", Secret: true, set: text(&s.OperatorSecret)},
		{Flag: "peer-secret", Default: "", Help: "secret that nodes send each other", Secret: true, set: text(&s.PeerSecret)},
		{Flag: "probe-interval", Default: "350ms", Help: "time between two probes of a target", set: span(&s.ProbeInterval)},
		{Flag: "evidence-window", Default: "1.5s", Help: "age up to which a target's report counts", set: span(&s.EvidenceWindow)},
		{Flag: "exchange-interval", Default: "350ms", Help: "time between two exchanges with a node of the hall", set: span(&s.ExchangeInterval)},
		{Flag: "list-interval", Default: "500ms", Help: "time between two reads of the platform's instance list", set: span(&s.ListInterval)},
		{Flag: "behind", Default: "5s", Help: "age of the last complete read of the log above which no order is sent", set: span(&s.Behind)},
		{Flag: "default-timeout", Default: "60s", Help: "time for a request that names none", set: span(&s.DefaultTimeout)},
		{Flag: "max-timeout", Default: "10m", Help: "greatest time that a request may name", set: span(&s.MaxTimeout)},
		{Flag: "stop-lag", Default: "2s", Help: "time to go on accepting after a stop, for the balancer", set: span(&s.StopLag)},
		{Flag: "append-rate", Default: "60", Help: "records a second that all nodes together append for claims", set: number(&s.AppendRate)},
		{Flag: "max-loads", Default: "4", Help: "groups of a data hall that may load at once", set: count(&s.MaxLoads)},
		{Flag: "max-body", Default: "4194304", Help: "greatest size of a request's body in bytes", set: count(&s.MaxBody)},
		{Flag: "held-cost", Default: "512", Help: "routing cost of a request held by a group, in tokens", set: weight(&s.HeldCost)},
		{Flag: "token-cost", Default: "1", Help: "routing cost of a token in flight", set: weight(&s.TokenCost)},
		{Flag: "recent-cost", Default: "4", Help: "routing cost of a token of prompt sent since the group's last report", set: weight(&s.RecentCost)},
		{Flag: "prefix-gain", Default: "32", Help: "routing gain of a cached token of the prompt", set: weight(&s.PrefixGain)},
		{Flag: "snapshot-every", Default: "1000", Help: "log offsets between two snapshots", set: count(&s.SnapshotEvery)},
		{Flag: "tls-cert", Default: "none", Help: "certificate file for all listeners, or none", set: optional(&s.CertFile)},
		{Flag: "tls-key", Default: "none", Help: "key file of the certificate, or none", set: optional(&s.KeyFile)},
		{Flag: "tls-ca", Default: "none", Help: "file with the certificates that sign those of the other nodes, or none", set: optional(&s.CAFile)},
		{Flag: "log-level", Default: "info", Help: "debug, info, warn or error", set: text(&s.LogLevel)},
	}
}

// Advertised returns where other nodes reach this one.
func (s *Settings) Advertised() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Peer
}

// EnvPrefix begins the name of every environment variable.
const EnvPrefix = "TROUTMAST_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Parse reads the settings; the error names every fault with its flag and environment variable.
func Parse(p *flaggy.Parser, args []string, lookup func(string) (string, bool)) (*Settings, error) {
	s := &Settings{}
	if err := parse(p, s.Table(), args, lookup, s.check); err != nil {
		return nil, err
	}
	return s, nil
}

// parse reads the settings of a table, then asks checks for the faults that concern
// more than one of them. The error names all faults together.
func parse(p *flaggy.Parser, table []*Setting, args []string, lookup func(string) (string, bool), checks ...func() []error) error {
	values := make([]string, len(table))
	for i, t := range table {
		p.String(&values[i], "", t.Flag, fmt.Sprintf("%s (%s, default %q)", t.Help, EnvName(t.Flag), t.Default))
	}
	if err := p.ParseArgs(args); err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	var faults []error
	for i, t := range table {
		if err := t.read(values[i], lookup); err != nil {
			faults = append(faults, fmt.Errorf("--%s (%s): %w", t.Flag, EnvName(t.Flag), err))
		}
	}
	for _, check := range checks {
		faults = append(faults, check()...)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w:\n%w", ErrSettings, errors.Join(faults...))
	}
	return nil
}

// FromOS reads the settings from the program's own arguments and environment.
func FromOS(p *flaggy.Parser) (*Settings, error) { return Parse(p, os.Args[1:], os.LookupEnv) }

// read takes the flag's text, else the environment's, else the default.
func (t *Setting) read(flagText string, lookup func(string) (string, bool)) error {
	if flagText != "" {
		return t.set(flagText)
	}
	if envText, ok := lookup(EnvName(t.Flag)); ok && envText != "" {
		return t.set(envText)
	}
	return t.set(t.Default)
}

// check returns the faults that concern more than one setting.
func (s *Settings) check() []error {
	var faults []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	add(s.OperatorSecret != "" && s.OperatorSecret == s.PeerSecret, "--operator-secret and --peer-secret: the two must differ")
	add(s.ProbeInterval+s.ExchangeInterval >= s.EvidenceWindow && s.EvidenceWindow > 0,
		"--evidence-window (%s): must exceed --probe-interval and --exchange-interval together", EnvName("evidence-window"))
	add(s.DefaultTimeout > s.MaxTimeout, "--default-timeout (%s): must not exceed --max-timeout", EnvName("default-timeout"))
	none := s.CertFile == "" && s.KeyFile == "" && s.CAFile == ""
	all := s.CertFile != "" && s.KeyFile != "" && s.CAFile != ""
	add(!none && !all, "--tls-cert, --tls-key and --tls-ca: give all three or none")
	add(s.Callers == s.Operator || s.Callers == s.Peer || s.Operator == s.Peer, "--callers, --operator and --peer: the addresses must differ")
	switch s.LogLevel {
	case "debug", "info", "warn", "error", "":
	default:
		add(true, "--log-level (%s): %q is none of debug, info, warn, error", EnvName("log-level"), s.LogLevel)
	}
	return faults
}

// text reads a text that must not be empty.
func text(into *string) func(string) error {
	return func(v string) error {
		if v == "" {
			return errors.New("must be set")
		}
		*into = v
		return nil
	}
}

// optional reads a text, or none.
func optional(into *string) func(string) error {
	return func(v string) error {
		if v != "none" {
			*into = v
		}
		return nil
	}
}

// addr reads an ip:port.
func addr(into *netip.AddrPort) func(string) error {
	return func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return fmt.Errorf("%q is no ip:port", v)
		}
		*into = a
		return nil
	}
}

// optionalAddr reads an ip:port, or none.
func optionalAddr(into *netip.AddrPort) func(string) error {
	return func(v string) error {
		if v == "none" {
			return nil
		}
		return addr(into)(v)
	}
}

// addrs reads a list of ip:port, or none.
func addrs(into *[]netip.AddrPort) func(string) error {
	return func(v string) error {
		if v == "none" {
			return nil
		}
		for one := range strings.SplitSeq(v, ",") {
			var a netip.AddrPort
			if err := addr(&a)(strings.TrimSpace(one)); err != nil {
				return err
			}
			*into = append(*into, a)
		}
		return nil
	}
}

// span reads a duration above zero.
func span(into *time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is no duration above zero, such as 250ms", v)
		}
		*into = d
		return nil
	}
}

// count reads a whole number above zero.
func count(into *int) func(string) error {
	return func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is no whole number above zero", v)
		}
		*into = n
		return nil
	}
}

// number reads a number above zero.
func number(into *float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n <= 0 {
			return fmt.Errorf("%q is no number above zero", v)
		}
		*into = n
		return nil
	}
}

// weight reads a number that is not negative.
func weight(into *float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("%q is no number from zero up", v)
		}
		*into = n
		return nil
	}
}
