package follow

import (
	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// The sources of a view, as the log names them.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// publish replaces the copy by a view with the confirmation that it was current. It refuses a view of an
// earlier version, unless its content is later; a peer's view of the same version only confirms the
// copy.
func (f *Follower) publish(view platform.TableView, from string, confirmed confirmation) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	old := f.view.Load()
	content, later := f.compareContent(view)
	if old != nil && later <= 0 {
		if view.Before(old.Version) {
			f.Logger.Info("older copy of a table refused", zap.String("table", f.Table), zap.String("from", from),
				zap.Stringer("version", view.Version), zap.Stringer("have", old.Version))
			return
		}
		if view.Version == old.Version && from == fromPeer {
			f.markConfirmed(confirmed)
			return
		}
	}
	confirms := old == nil || !view.Before(old.Version)
	if old != nil {
		f.replaceCopy(*old, &view, from, later, content)
	}
	f.content.Store(max(content, f.content.Load()))
	f.view.Store(&view)
	if confirms {
		f.markConfirmed(confirmed)
	}
	if from == fromPeer {
		f.Logger.Info("table learned from a peer", zap.String("table", f.Table), zap.Stringer("version", view.Version))
	}
	f.OnChange(view)
}

// compareContent returns the version of a view's content, and how it compares with the one taken over
// before; 0 if they can't be compared.
func (f *Follower) compareContent(view platform.TableView) (content uint64, later int) {
	if f.ContentVersion == nil {
		return 0, 0
	}
	content, ok := f.ContentVersion(view.Rows)
	switch have := f.content.Load(); {
	case !ok || content == have:
		return content, 0
	case content < have:
		return content, -1
	}
	return content, 1
}

// replaceCopy prepares the replacement of the old copy by next. Next gets the old rows if its content
// is earlier than theirs, and the old version if that is later.
func (f *Follower) replaceCopy(old platform.TableView, next *platform.TableView, from string, later int, content uint64) {
	if later < 0 {
		f.Logger.Warn("older content of a table not taken over", zap.String("table", f.Table), zap.Stringer("version", next.Version),
			zap.Uint64("content", content), zap.Uint64("have", f.content.Load()))
		next.Rows = old.Rows
	}
	if next.Before(old.Version) {
		next.Version = old.Version
	}
	if next.Era == old.Era {
		f.history.add(old, *next)
		return
	}
	f.history = history{}
	f.beginSettling(from)
}
