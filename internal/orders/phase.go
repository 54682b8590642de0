package orders

// Phase says how far a target is from agreeing with its entry, for the dump.
type Phase string

// The phases of a target.
const (
	PhaseUnread           Phase = "unread"
	PhaseUnreachable      Phase = "unreachable"
	PhaseAgreed           Phase = "agreed"
	PhaseOldOrdersPending Phase = "waiting-out-old-holder"
	PhaseDraining         Phase = "draining"
	PhaseBusy             Phase = "work-in-hand"
	PhaseLoadLimited      Phase = "waiting-for-weight-store"
	PhaseOrderInFlight    Phase = "order-under-way"
	PhaseLoading          Phase = "loading"
	PhaseRefused          Phase = "refused"
	PhaseSuperseded       Phase = "newer-holder"
	PhaseLeaving          Phase = "leaving"
	PhaseOutdated         Phase = "configuration-outdated"
	PhaseNoLease          Phase = "lease-not-held"
)
