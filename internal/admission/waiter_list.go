package admission

// waiterList is a first in, first out list with removal from any place.
type waiterList struct {
	first, last *waiter
}

func (l *waiterList) push(w *waiter) {
	w.prev, w.next = l.last, nil
	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}
	l.last = w
}

func (l *waiterList) remove(w *waiter) {
	if w.prev == nil {
		l.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
}
