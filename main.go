// Command baobabdale runs a node of the mesh and provides the commands of its operators.
package main

import (
	"os"

	"github.com/baobabdale/baobabdale/baobabcommand"
)

func main() {
	os.Exit(baobabcommand.Main(os.Args[1:]))
}
