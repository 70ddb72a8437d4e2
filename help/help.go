// Package help holds the pages that troutctl shows.
package help

import (
	"embed"
	"fmt"
	"strings"
)

// pages are the embedded Markdown files.
//
//go:embed *.md
var pages embed.FS

// Topics returns the names of all pages.
func Topics() []string {
	entries, err := pages.ReadDir(".")
	if err != nil {
		return nil
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = strings.TrimSuffix(e.Name(), ".md")
	}
	return names
}

// Topic returns a page, or an error that names all pages.
func Topic(name string) (string, error) {
	text, err := pages.ReadFile(name + ".md")
	if err != nil {
		return "", fmt.Errorf("help: no topic %q; there are %s", name, strings.Join(Topics(), ", "))
	}
	return string(text), nil
}
