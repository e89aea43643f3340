// Package disk implements sardine.Disk: Folder on the operating system's file
// system, Memory with faults for tests.
package disk
