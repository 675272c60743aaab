// Command baobabdale runs a node of the mesh and operates it.
package main

import (
	"os"

	"github.com/baobabdale/baobabdale/baobabcommand"
)

func main() {
	os.Exit(baobabcommand.Main(os.Args[1:]))
}
