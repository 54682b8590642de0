// Package explaincmd implements the command "explain", which prints all lines about one request
// from the logs of several VMs, in order of time.
package explaincmd
