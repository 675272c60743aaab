// Package baobabdependency learns which services a kind of call needs while it runs, and decides how many such calls start
// when those services lack room.
package baobabdependency
