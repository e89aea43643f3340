// Package report turns the results of the measures into pages: tables, plots,
// figures against their bounds, and a comparison of two versions.
package report
