// Package procload detects that a process gets less processor time than its work needs. Everything in it is then late:
// events that it forwards, answers to peers, the deadlines of its own requests. More work makes all of it later.
package procload
