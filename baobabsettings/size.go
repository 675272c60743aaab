package baobabsettings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// A Size is a number of bytes.
type Size int64

// Units of sizes.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

type sizeUnit struct {
	suffix string
	size   Size
}

// sizeUnits is sorted by decreasing size, with B last because it is also a suffix of the others.
var sizeUnits = []sizeUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// ParseSize parses a whole number with one of the units B, KiB, MiB and GiB.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || n > uint64(math.MaxInt64/u.size) {
			return 0, errors.Errorf("parse size: %q is not a whole number of %s", s, u.suffix)
		}
		return Size(n) * u.size, nil
	}
	return 0, errors.Errorf("parse size: %q has no unit B, KiB, MiB or GiB", s)
}

// Bytes returns the number of bytes.
func (s Size) Bytes() int64 { return int64(s) }

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.size && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}
