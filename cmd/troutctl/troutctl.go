// Command troutctl sends queries and commands in the operators' language to troutmast.
package main

import (
	"os"

	"github.com/troutmast/troutmast/transport/ctl"
)

// main runs one invocation and exits with its code.
func main() {
	os.Exit(ctl.Run(os.Args[1:], os.LookupEnv, os.Stdout, os.Stderr))
}
