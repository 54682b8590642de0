// Package listener bounds the connections that callers have open.
package listener
