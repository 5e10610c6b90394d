// Command settingsref prints the reference of all settings, made from the Go
// types that the settings files are decoded into: their fields, their doc
// comments and their default tags.
//
//	go run ./tools/settingsref > docs/reference/settings.md
package main

import (
	"fmt"
	"os"
)

func main() {
	page, err := reference(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(page)
}
