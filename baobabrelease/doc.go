// Package baobabrelease stores the edits of operators and the accepted configuration versions in the platform. It keeps
// no state of its own, so any node can serve any operator.
//
// Rows: edit/<kind>/<name> holds the canonical text of a resource. edit/sequence is written with every edit, so its
// revision identifies the set of all edits. head holds the newest accepted version. operation/<id> holds the version
// that the accept with that id created. The object snapshot/<digest> holds the document with that digest.
package baobabrelease
