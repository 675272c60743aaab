package baobabemulator

import (
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Binaries are the programs of a mesh.
type Binaries struct {
	product string
	standin string
	module  string // Folder of the module, which holds the examples.
}

// BuildBinaries builds the product and the program of the stand-ins into a folder. It must run inside the module.
func BuildBinaries(folder string) (Binaries, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return Binaries{}, errors.Wrap(err, "find module")
	}
	return BuildBinariesOf(filepath.Dir(strings.TrimSpace(string(mod))), folder)
}

// BuildBinariesOf builds the programs of the module in the given folder, for example of another revision.
func BuildBinariesOf(module, folder string) (Binaries, error) {
	b := Binaries{
		product: filepath.Join(folder, "baobabdale"), standin: filepath.Join(folder, "baobabmesh"), module: module,
	}
	for _, v := range []struct{ output, pkg string }{
		{b.product, "github.com/baobabdale/baobabdale"},
		{b.standin, "github.com/baobabdale/baobabdale/baobabmesh"},
	} {
		build := exec.Command("go", "build", "-o", v.output, v.pkg)
		build.Dir = module
		out, err := build.CombinedOutput()
		if err != nil {
			return Binaries{}, errors.Wrapf(err, "build %s: %s", v.pkg, out)
		}
	}
	return b, nil
}

// Product returns the path of the product.
func (b Binaries) Product() string { return b.product }

// Standin returns the path of the program of the stand-ins.
func (b Binaries) Standin() string { return b.standin }

// Module returns the folder of the module.
func (b Binaries) Module() string { return b.module }
