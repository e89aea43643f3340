// Package roster decides how the member list of the control nodes follows the nodes that
// run. It does no I/O and reads no clock.
package roster
