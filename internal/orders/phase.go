package orders

// Phase says how far a target is from matching its entry. It is written to the dump.
type Phase string

// The phases of a target.
const (
	// PhaseUnread: the state was not read yet, or has changed during the step.
	PhaseUnread Phase = "unread"
	// PhaseUnreachable: the engine's state cannot be read.
	PhaseUnreachable Phase = "unreachable"
	// PhaseAgreed: the engine matches its entry.
	PhaseAgreed Phase = "agreed"
	// PhaseOldOrdersPending: an order of an earlier holder may still take effect.
	PhaseOldOrdersPending Phase = "waiting-out-old-holder"
	// PhaseDraining: a drain is not confirmed or not ended.
	PhaseDraining Phase = "draining"
	// PhaseBusy: the engine is drained and still has requests.
	PhaseBusy Phase = "work-in-hand"
	// PhaseLoadLimited: the limits on loads delay the order.
	PhaseLoadLimited Phase = "waiting-for-weight-store"
	// PhaseOrderInFlight: an order was sent and may still take effect.
	PhaseOrderInFlight Phase = "order-under-way"
	// PhaseLoading: the engine is loading.
	PhaseLoading Phase = "loading"
	// PhaseRefused: the engine refused the order.
	PhaseRefused Phase = "refused"
	// PhaseSuperseded: the engine has seen a higher fencing number.
	PhaseSuperseded Phase = "newer-holder"
	// PhaseLeaving: the target is about to leave and gets no order.
	PhaseLeaving Phase = "leaving"
	// PhaseOutdated: the configuration could not be refreshed, or the entry has changed.
	PhaseOutdated Phase = "configuration-outdated"
	// PhaseNoLease: the check of the lease failed.
	PhaseNoLease Phase = "lease-not-held"
)
