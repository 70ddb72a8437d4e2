// Package seed makes property tests take the same course in every run, unless
// the environment names another seed. Tests import it for its effect.
package seed

import (
	"flag"
	"fmt"
	"os"

	// rapid defines the flag that is set below.
	_ "pgregory.net/rapid"
)

// Env names the environment variable with another seed; 0 draws one.
const Env = "TROUTMAST_TEST_SEED"

// defaultSeed is the seed of an ordinary run.
const defaultSeed = "20261202"

func init() {
	value := os.Getenv(Env)
	if value == "" {
		value = defaultSeed
	}
	if err := flag.Set("rapid.seed", value); err != nil {
		panic(fmt.Errorf("seed: %w", err))
	}
}
