package baobabsettings

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"gopkg.in/ini.v1"
)

// defaultSection is the INI library's name for the keys before the first section header.
const defaultSection = "DEFAULT"

// A reader reads typed values from an INI file and collects all problems.
type reader struct {
	name         string
	file         *ini.File
	readFile     func(name string) ([]byte, error)
	knownKeys    map[string]map[string]bool // Requested keys by section; all others are unknown.
	openSections map[string]bool            // Sections in which any key is allowed.
	problems     []Problem
}

func newReader(name string, data []byte, readFile func(string) ([]byte, error)) *reader {
	r := &reader{name: name, readFile: readFile, knownKeys: map[string]map[string]bool{}, openSections: map[string]bool{}}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00", // No inheritance between sections.
	}, data)
	if err != nil {
		r.addProblem("", "", "%s", strings.TrimSpace(err.Error()))
		file = ini.Empty()
	}
	r.file = file
	r.reportDuplicates(data)
	return r
}

// addProblem adds a problem, with all texts on one line.
func (r *reader) addProblem(section, key, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{
		file: r.name, section: singleLine(section), key: singleLine(key), text: singleLine(fmt.Sprintf(format, arguments...)),
	})
}

// singleLine replaces control characters and line separators by spaces.
func singleLine(s string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) || c == '\u2028' || c == '\u2029' {
			return ' '
		}
		return c
	}, s)
}

// reportDuplicates adds a problem for each key and section that occurs again, because the INI library silently keeps
// only the last one.
func (r *reader) reportDuplicates(data []byte) {
	section := defaultSection
	sections := map[string]bool{}
	keys := map[[2]string]bool{}
	for l := range bytes.Lines(data) {
		line := strings.TrimSpace(string(l))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if end := strings.LastIndexByte(line, ']'); line[0] == '[' && end > 0 {
			section = strings.TrimSpace(line[1:end])
			if sections[section] {
				r.addProblem(section, "", "the section occurs more than once")
			}
			sections[section] = true
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		key := [2]string{section, strings.Trim(strings.TrimSpace(name), "\"`")}
		if ok && keys[key] {
			r.addProblem(section, key[1], "the key occurs more than once")
		}
		keys[key] = true
	}
}

// reportUnknown adds a problem for each section and key that was not requested.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		name := section.Name()
		if name == defaultSection {
			for _, key := range section.KeyStrings() {
				r.addProblem("", "", "key %s is outside of a section", key)
			}
			continue
		}
		if r.openSections[name] {
			continue
		}
		if r.knownKeys[name] == nil {
			r.addProblem(name, "", "unknown section")
			continue
		}
		for _, key := range section.KeyStrings() {
			if !r.knownKeys[name][key] {
				r.addProblem(name, key, "unknown key")
			}
		}
	}
}

// value returns the raw value and whether the key has one. It marks the key as known.
func (r *reader) value(section, key string) (string, bool) {
	if r.knownKeys[section] == nil {
		r.knownKeys[section] = map[string]bool{}
	}
	r.knownKeys[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := strings.TrimSpace(s.Key(key).Value())
	if v == "" {
		r.addProblem(section, key, "the value is empty")
		return "", false
	}
	return v, true
}

// hasKey reports whether the file has the key, with or without a value.
func (r *reader) hasKey(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

// required is like value but adds a problem if the key is absent.
func (r *reader) required(section, key string) (string, bool) {
	v, ok := r.value(section, key)
	if !ok && !r.hasKey(section, key) {
		r.addProblem(section, key, "a value is required")
	}
	return v, ok
}

// identifier returns a required name that isIdentifier accepts.
func (r *reader) identifier(section, key string) string {
	v, ok := r.required(section, key)
	if ok && !isIdentifier(v) {
		r.addProblem(section, key, "%q is not 1 to 64 letters, digits, dots, hyphens or underscores", v)
	}
	return v
}

func isIdentifier(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range []byte(s) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// address returns a required address.
func (r *reader) address(section, key string) netip.AddrPort {
	v, ok := r.required(section, key)
	if !ok {
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, v)
}

// optionalAddress returns the default value if the key has no value.
func (r *reader) optionalAddress(section, key string, defaultValue netip.AddrPort) netip.AddrPort {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	return r.parseAddress(section, key, v)
}

// parseAddress returns an address with a port, or a zero address after a problem.
func (r *reader) parseAddress(section, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.addProblem(section, key, "%q is not ip:port", v)
		return netip.AddrPort{}
	}
	if a.Port() == 0 {
		r.addProblem(section, key, "%q has port 0", v)
		return netip.AddrPort{}
	}
	return a
}

// addresses returns the sorted addresses of an optional list, which is separated by commas.
func (r *reader) addresses(section, key string) []netip.AddrPort {
	v, ok := r.value(section, key)
	if !ok {
		return nil
	}
	var list []netip.AddrPort
	for part := range strings.SplitSeq(v, ",") {
		a := r.parseAddress(section, key, strings.TrimSpace(part))
		if !a.IsValid() {
			continue
		}
		if slices.Contains(list, a) {
			r.addProblem(section, key, "%s occurs more than once", a)
			continue
		}
		list = append(list, a)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (r *reader) duration(section, key string, defaultValue, lowest, highest time.Duration) time.Duration {
	return parseBounded(r, section, key, "a duration such as 250ms", time.ParseDuration, defaultValue, lowest, highest)
}

func (r *reader) size(section, key string, defaultValue, lowest, highest Size) Size {
	return parseBounded(r, section, key, "a size such as 64KiB", ParseSize, defaultValue, lowest, highest)
}

func (r *reader) integer(section, key string, defaultValue, lowest, highest int) int {
	return parseBounded(r, section, key, "a whole number", strconv.Atoi, defaultValue, lowest, highest)
}

func (r *reader) number(section, key string, defaultValue, lowest, highest float64) float64 {
	parse := func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && math.IsNaN(v) {
			err = strconv.ErrSyntax
		}
		return v, err
	}
	return parseBounded(r, section, key, "a number", parse, defaultValue, lowest, highest)
}

// parseBounded returns the value of a key between two bounds, or the default value if there is none or after a problem.
func parseBounded[T cmp.Ordered](r *reader, section, key, format string, parse func(string) (T, error),
	defaultValue, lowest, highest T) T {
	text, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	v, err := parse(text)
	if err != nil {
		r.addProblem(section, key, "%q is not %s", text, format)
		return defaultValue
	}
	if v < lowest || v > highest {
		r.addProblem(section, key, "%v is not between %v and %v", v, lowest, highest)
		return defaultValue
	}
	return v
}

// choice returns a value that must be one of the options.
func (r *reader) choice(section, key, defaultValue string, options ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(options, v) {
		r.addProblem(section, key, "%q is not one of %s", v, strings.Join(options, ", "))
		return defaultValue
	}
	return v
}

// secretFile returns the contents of a file without surrounding white space, or nil after a problem.
func (r *reader) secretFile(section, key, name string) []byte {
	data, err := r.readFile(name)
	if err != nil {
		r.addProblem(section, key, "%v", err)
		return nil
	}
	data = bytes.TrimSpace(data)
	if len(data) < minSecretBytes {
		r.addProblem(section, key, "%s has %d bytes, at least %d are needed", name, len(data), minSecretBytes)
		return nil
	}
	return data
}
