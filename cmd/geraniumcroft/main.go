// Command geraniumcroft routes requests to model engines and plain services.
package main

import (
	"os"

	"geraniumcroft/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], &relayCommand{}))
}
