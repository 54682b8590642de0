package admission

// waiterList is a doubly linked list of waiters in the order of their addition, with
// removal in constant time. A waiter is in at most one list of each order.
type waiterList struct {
	order       listOrder
	first, last *waiter
}

func (l *waiterList) push(w *waiter) {
	w.links[l.order] = listLinks{prev: l.last}
	if l.last == nil {
		l.first = w
	} else {
		l.last.links[l.order].next = w
	}
	l.last = w
}

func (l *waiterList) remove(w *waiter) {
	links := w.links[l.order]
	if links.prev == nil {
		l.first = links.next
	} else {
		links.prev.links[l.order].next = links.next
	}
	if links.next == nil {
		l.last = links.prev
	} else {
		links.next.links[l.order].prev = links.prev
	}
	w.links[l.order] = listLinks{}
}

// after returns the waiter that follows w, nil if w is the last one.
func (l *waiterList) after(w *waiter) *waiter { return w.links[l.order].next }
