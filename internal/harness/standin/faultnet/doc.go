// Package faultnet provides a listener for the stand-ins whose connections can be
// reset or silenced. A silenced connection stays open but carries no more data, as if
// a device on the network path dropped all its packets.
package faultnet
