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
	b := Binaries{
		product: filepath.Join(folder, "baobabdale"), standin: filepath.Join(folder, "baobabmesh"),
		module: filepath.Dir(strings.TrimSpace(string(mod))),
	}
	for _, v := range []struct{ output, pkg string }{
		{b.product, "github.com/baobabdale/baobabdale"},
		{b.standin, "github.com/baobabdale/baobabdale/baobabmesh"},
	} {
		out, err := exec.Command("go", "build", "-o", v.output, v.pkg).CombinedOutput()
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
