package baobabsettings

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"gopkg.in/ini.v1"
)

// defaultSection is the name that the INI library gives to the section of keys before the first header.
const defaultSection = "DEFAULT"

// A reader takes typed values out of an INI file and collects all problems.
type reader struct {
	name     string
	file     *ini.File
	readFile func(name string) ([]byte, error)
	asked    map[string]map[string]bool // Section, key: known to this program.
	free     map[string]bool            // Sections whose keys are chosen by the operator.
	problems []Problem
}

func newReader(name string, data []byte, readFile func(string) ([]byte, error)) *reader {
	r := &reader{name: name, readFile: readFile, asked: map[string]map[string]bool{}, free: map[string]bool{}}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00", // No inheritance between sections.
	}, data)
	if err != nil {
		r.problem("", "", "%s", strings.TrimSpace(err.Error()))
		file = ini.Empty()
	}
	r.file = file
	r.findRepeated(data)
	return r
}

// problem adds a problem; the text is kept on one line.
func (r *reader) problem(section, key, format string, arguments ...any) {
	r.problems = append(r.problems, Problem{
		file: r.name, section: oneLine(section), key: oneLine(key), text: oneLine(fmt.Sprintf(format, arguments...)),
	})
}

func oneLine(s string) string {
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) || c == '\u2028' || c == '\u2029' {
			return ' '
		}
		return c
	}, s)
}

// findRepeated reports keys and sections that occur twice; the INI library silently keeps the last one.
func (r *reader) findRepeated(data []byte) {
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
				r.problem(section, "", "the section occurs more than once")
			}
			sections[section] = true
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		key := [2]string{section, strings.Trim(strings.TrimSpace(name), "\"`")}
		if ok && keys[key] {
			r.problem(section, key[1], "the key occurs more than once")
		}
		keys[key] = true
	}
}

// reportUnknown adds a problem for each section and key that no one asked for.
func (r *reader) reportUnknown() {
	for _, section := range r.file.Sections() {
		name := section.Name()
		if name == defaultSection {
			for _, key := range section.KeyStrings() {
				r.problem("", "", "key %s is outside of a section", key)
			}
			continue
		}
		if r.free[name] {
			continue
		}
		if r.asked[name] == nil {
			r.problem(name, "", "unknown section")
			continue
		}
		for _, key := range section.KeyStrings() {
			if !r.asked[name][key] {
				r.problem(name, key, "unknown key")
			}
		}
	}
}

// value returns the raw value and whether the key is present with a value.
func (r *reader) value(section, key string) (string, bool) {
	if r.asked[section] == nil {
		r.asked[section] = map[string]bool{}
	}
	r.asked[section][key] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := strings.TrimSpace(s.Key(key).Value())
	if v == "" {
		r.problem(section, key, "the value is empty")
		return "", false
	}
	return v, true
}

// present reports whether the key occurs in the file, with or without a value.
func (r *reader) present(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

func (r *reader) required(section, key string) (string, bool) {
	v, ok := r.value(section, key)
	if !ok && !r.present(section, key) {
		r.problem(section, key, "a value is required")
	}
	return v, ok
}

func (r *reader) identifier(section, key string) string {
	v, ok := r.required(section, key)
	if ok && !isIdentifier(v) {
		r.problem(section, key, "%q is not 1 to 64 letters, digits, dots, hyphens or underscores", v)
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

func (r *reader) address(section, key string) netip.AddrPort {
	v, ok := r.required(section, key)
	if !ok {
		return netip.AddrPort{}
	}
	return r.parseAddress(section, key, v)
}

// optionalAddress returns the preset when the key is absent.
func (r *reader) optionalAddress(section, key string, preset netip.AddrPort) netip.AddrPort {
	v, ok := r.value(section, key)
	if !ok {
		return preset
	}
	return r.parseAddress(section, key, v)
}

func (r *reader) parseAddress(section, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.problem(section, key, "%q is not ip:port", v)
		return netip.AddrPort{}
	}
	if a.Port() == 0 {
		r.problem(section, key, "%q has port 0", v)
		return netip.AddrPort{}
	}
	return a
}

// addresses returns a sorted list; the list is separated by commas and may be absent.
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
			r.problem(section, key, "%s occurs more than once", a)
			continue
		}
		list = append(list, a)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (r *reader) duration(section, key string, preset, low, high time.Duration) time.Duration {
	return bounded(r, section, key, "a duration such as 250ms", time.ParseDuration, preset, low, high)
}

func (r *reader) size(section, key string, preset, low, high Size) Size {
	return bounded(r, section, key, "a size such as 64KiB", ParseSize, preset, low, high)
}

func (r *reader) integer(section, key string, preset, low, high int) int {
	return bounded(r, section, key, "a whole number", strconv.Atoi, preset, low, high)
}

// bounded returns the value of a key between two bounds, or the preset after a problem.
func bounded[T cmp.Ordered](r *reader, section, key, form string, parse func(string) (T, error), preset, low, high T) T {
	text, ok := r.value(section, key)
	if !ok {
		return preset
	}
	v, err := parse(text)
	if err != nil {
		r.problem(section, key, "%q is not %s", text, form)
		return preset
	}
	if v < low || v > high {
		r.problem(section, key, "%v is not between %v and %v", v, low, high)
		return preset
	}
	return v
}

func (r *reader) choice(section, key, preset string, options ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return preset
	}
	if !slices.Contains(options, v) {
		r.problem(section, key, "%q is not one of %s", v, strings.Join(options, ", "))
		return preset
	}
	return v
}

// secret returns the contents of the file named by the key, without white space around them.
func (r *reader) secret(section, key, name string) []byte {
	data, err := r.readFile(name)
	if err != nil {
		r.problem(section, key, "%v", err)
		return nil
	}
	data = bytes.TrimSpace(data)
	if len(data) < minSecretBytes {
		r.problem(section, key, "%s has %d bytes, at least %d are needed", name, len(data), minSecretBytes)
		return nil
	}
	return data
}
