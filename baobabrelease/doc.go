// Package baobabrelease keeps the edits of operators and the accepted versions in the platform. It needs no memory
// of its own: any node can serve any operator.
//
// Rows: edit/<kind>/<name> holds the canonical text of a resource. edit/sequence is written with every edit, so
// that its revision identifies the set of all edits. head holds the version in effect. operation/<id> holds the
// version that the accept with that id led to. The object snapshot/<digest> holds the document with that digest.
package baobabrelease
