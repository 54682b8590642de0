package platformsim

// Chooser selects the action for each operation, as an alternative to an Order.
type Chooser func(Operation) Action
