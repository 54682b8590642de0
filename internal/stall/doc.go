// Package stall decides, without a network and without a clock, which stages of a path have
// stopped when a stream stands still.
//
// A stage that ends without a word stops every stream that passes through it. The path's first
// replica reports such a stage with a lag that is as long as the pause which callers notice. What
// this VM sees tells sooner: Suspects leaves out the stages that other streams have passed since,
// the rest is asked for a connection, and Stopped judges the answers.
//
// A false alarm costs a move of the stream and never an answer. Full listeners, lossy links and
// data centres that are cut off look like silence, so silence counts only beside stages of the
// same data centre that do answer. A slow path is none that stopped: Patience follows the pace of
// the stream's own events up to a bound, and QuestionBudget bounds what the questions cost.
package stall
