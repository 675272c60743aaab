// Package baobabsettings reads and checks the INI settings of a node.
package baobabsettings
