// Command troutmast-demo is a first run of troutmast: it starts stand-ins and
// three nodes on loopback, forms a group, sends a request through each node,
// shows groups and nodes, and stops everything it has started.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/transport/caller"
)

// teamKey is the key of the demo's team.
const teamKey = "demo-key"

// main runs the demo.
func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run starts the processes, forms a group, sends the requests and stops the processes.
func run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	l, err := lab.New(filepath.Dir(self))
	if err != nil {
		return err
	}
	defer l.Close()
	for i := range 5 {
		if err := l.StartTarget(fmt.Sprintf("gpu-%d", i+1), "yxe-hall", "fabric-a", "--fences"); err != nil {
			return err
		}
	}
	if err := l.StartNodes([]string{"yxe-hall", "yqr-hall", "ywg-hall"}); err != nil {
		return err
	}
	if err := l.AwaitReady(); err != nil {
		return err
	}
	commands := []string{
		"create team fleet key " + caller.HashKey(teamKey),
		"allow team fleet in yxe-hall places 30 priority alert",
		"create group hearth-1 model hearth-lm version v1 size 4 in yxe-hall",
	}
	for _, c := range commands {
		if err := runCommand(l, c); err != nil {
			return err
		}
	}
	if err := lab.Eventually(10*time.Second, func() error { return checkGroup(l) }); err != nil {
		return err
	}
	for _, n := range l.Nodes {
		if err := sendCompletion(n); err != nil {
			return err
		}
	}
	for _, q := range []string{"show groups", "show nodes", "why group hearth-1"} {
		out, _ := l.Ctl(l.Nodes[2], q)
		fmt.Printf("\n$ troutctl %s\n%s", q, out)
	}
	fmt.Println("\nstopping everything")
	return nil
}

// runCommand runs one command on the first node, retries it for up to 5 s, and prints its output.
func runCommand(l *lab.Lab, text string) error {
	var out string
	err := lab.Eventually(5*time.Second, func() error {
		var code int
		if out, code = l.Ctl(l.Nodes[0], text); code != 0 {
			return fmt.Errorf("%s: %s", text, out)
		}
		return nil
	})
	fmt.Printf("$ troutctl %s\n%s", text, out)
	return err
}

// checkGroup returns an error unless group hearth-1 is in state whole, in which it serves.
func checkGroup(l *lab.Lab) error {
	out, code := l.Ctl(l.Nodes[0], "show groups where state = whole")
	if code != 0 || !strings.Contains(out, "hearth-1") {
		return fmt.Errorf("group hearth-1 has not reached state whole: %s", out)
	}
	return nil
}

// sendCompletion sends a completion request to a node and prints the response.
func sendCompletion(n *lab.Node) error {
	body := []byte(`{"model":"hearth-lm","max_tokens":6,"messages":[{"role":"user","content":"What does fault E4 mean?"}]}`)
	return lab.Eventually(5*time.Second, func() error {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.Addr.String()+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+teamKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", resp.Status, data)
		}
		fmt.Printf("\n%s (%s) answered a completion:\n%s\n", n.Name, n.Hall, data)
		return nil
	})
}
