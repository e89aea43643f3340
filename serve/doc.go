// Package serve holds what targets of the product's own interface speak: the
// headers of a dispatch and of its answer, and answers that are checked to be
// whole and to belong to their request.
package serve
