// Package explaincmd implements "explain": the story of one request from the logs of
// several VMs.
package explaincmd
