// Command endivepost routes language-model traffic with service levels and
// priorities.
package main

import (
	"os"

	"endivepost/internal/command/verbs"
)

func main() {
	os.Exit(verbs.Run(os.Args, os.Stdout, os.Stderr))
}
