// Command settingsref prints the reference of all settings. It is generated from the
// Go types that settings files are decoded into: from their fields, doc comments and
// default tags.
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
