// Package report renders the results of the measures as HTML or Markdown pages:
// tables, plots, figures with their bounds, and a comparison of two versions.
package report
