package security

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// pollInterval bounds how long a change goes unseen when no notice comes.
	pollInterval = 10 * time.Second
	// settleTime lets the several files of one change be written.
	settleTime = 100 * time.Millisecond
)

// watcher calls a function when files may have changed.
type watcher struct {
	paths    []string
	poll     time.Duration
	changed  func()
	notifier *fsnotify.Watcher
	stop     chan struct{}
	done     chan struct{}
}

// watch starts a watcher. It works by polling alone where notices cannot be had.
func watch(paths []string, o Options, changed func()) *watcher {
	w := &watcher{paths: paths, poll: o.poll(), changed: changed, stop: make(chan struct{}), done: make(chan struct{})}
	if notifier, err := fsnotify.NewWatcher(); err == nil && !o.pollOnly {
		w.notifier = notifier
		w.addDirectories()
	}
	stamps := w.stamps()
	go w.run(stamps)
	return w
}

// addDirectories watches directories: a notice on a file ends when the file is
// replaced by a rename, which is how files are changed with care.
func (w *watcher) addDirectories() {
	for _, path := range w.paths {
		_ = w.notifier.Add(filepath.Dir(path))
	}
}

func (w *watcher) close() {
	close(w.stop)
	<-w.done
}

func (w *watcher) run(stamps []stamp) {
	defer close(w.done)
	ticker := time.NewTicker(w.poll)
	defer ticker.Stop()
	events, settled := w.events(), newStoppedTimer()
	defer settled.Stop()
	for {
		select {
		case <-w.stop:
			w.closeNotifier()
			return
		case _, open := <-events:
			if !open {
				events = nil
				continue
			}
			settled.Reset(settleTime)
		case <-settled.C:
			stamps = w.look(stamps)
		case <-ticker.C:
			stamps = w.look(stamps)
		}
	}
}

// look tells of a change when the files differ from those stamps, and returns the
// present ones. A notice alone is not enough, as it may be of any file in the
// directory: with the log written there, each line would cause the files to be read,
// and that is logged.
func (w *watcher) look(before []stamp) []stamp {
	now := w.stamps()
	if !slices.Equal(now, before) {
		w.changed()
	}
	return now
}

func (w *watcher) events() <-chan fsnotify.Event {
	if w.notifier == nil {
		return nil
	}
	return w.notifier.Events
}

func (w *watcher) closeNotifier() {
	if w.notifier != nil {
		_ = w.notifier.Close()
	}
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (w *watcher) stamps() []stamp {
	stamps := make([]stamp, len(w.paths))
	for i, path := range w.paths {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}
