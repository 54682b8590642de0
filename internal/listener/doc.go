// Package listener limits the number of connections that callers have open.
package listener
