package baobabemulator

import (
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Binaries are the programs that a mesh runs.
type Binaries struct {
	product  string // Path of the baobabdale program.
	emulator string // Path of the baobabmesh program.
	module   string // Root directory of the module, which holds the examples.
}

// BuildBinaries builds the product and the emulator program into a directory. It must run inside the module.
func BuildBinaries(dir string) (Binaries, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return Binaries{}, errors.Wrap(err, "find module")
	}
	return BuildModuleBinaries(filepath.Dir(strings.TrimSpace(string(mod))), dir)
}

// BuildModuleBinaries builds the programs of the module in the given root directory, for example a checkout of another
// revision.
func BuildModuleBinaries(module, dir string) (Binaries, error) {
	b := Binaries{
		product: filepath.Join(dir, "baobabdale"), emulator: filepath.Join(dir, "baobabmesh"), module: module,
	}
	for _, v := range []struct{ output, pkg string }{
		{b.product, "github.com/baobabdale/baobabdale"},
		{b.emulator, "github.com/baobabdale/baobabdale/baobabmesh"},
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

// Product returns the path of the baobabdale program.
func (b Binaries) Product() string { return b.product }

// Emulator returns the path of the baobabmesh program, which runs the emulated platform and upstreams.
func (b Binaries) Emulator() string { return b.emulator }

// Module returns the root directory of the module.
func (b Binaries) Module() string { return b.module }
