// Command troutctl asks and commands troutmast in the operators' language.
package main

import (
	"os"

	"github.com/troutmast/troutmast/transport/ctl"
)

// main runs one invocation.
func main() {
	os.Exit(ctl.Run(os.Args[1:], os.LookupEnv, os.Stdout, os.Stderr))
}
