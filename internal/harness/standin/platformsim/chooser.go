package platformsim

// Chooser decides about each operation, in place of an Order.
type Chooser func(Operation) Action
