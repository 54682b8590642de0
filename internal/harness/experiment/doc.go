// Package experiment measures the system at work: each experiment starts a fleet
// in this process on loopback addresses, puts it under load, lets things fail and
// returns figures with their spread over repeats.
//
// Machines are noisy, so what is compared is measured side by side in one run and
// reported as a ratio where it can be. A request that ends in another way than it
// should, and a violated invariant, are figures too: a fast wrong answer must not
// pass for a good one.
package experiment
