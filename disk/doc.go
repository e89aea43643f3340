// Package disk implements sardine.Disk: Folder on the operating system's file
// system, and Memory with fault injection for tests.
package disk
