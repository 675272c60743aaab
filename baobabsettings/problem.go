package baobabsettings

import "fmt"

// A Problem is one error in a settings file.
type Problem struct {
	file    string
	section string // Empty when the problem concerns the whole file.
	key     string // Empty when the problem concerns the whole section.
	text    string
}

// File returns the name of the settings file.
func (p Problem) File() string { return p.file }

// Section returns the section, or an empty string.
func (p Problem) Section() string { return p.section }

// Key returns the key, or an empty string.
func (p Problem) Key() string { return p.key }

// Text returns what is wrong.
func (p Problem) Text() string { return p.text }

// String returns the problem on one line.
func (p Problem) String() string {
	switch {
	case p.section == "":
		return fmt.Sprintf("%s: %s", p.file, p.text)
	case p.key == "":
		return fmt.Sprintf("%s: [%s]: %s", p.file, p.section, p.text)
	default:
		return fmt.Sprintf("%s: [%s] %s: %s", p.file, p.section, p.key, p.text)
	}
}
