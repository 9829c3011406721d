// Package wirepb holds the generated Go types of the inner protocol. Package
// wire converts them to and from the types of the packages that decide.
package wirepb
