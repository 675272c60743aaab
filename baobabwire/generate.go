// Package baobabwire holds the protobuf messages exchanged between nodes.
package baobabwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
