package security

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// defaultPollInterval bounds the delay of a change without a notification.
	defaultPollInterval = 10 * time.Second
	// settleTime is the delay after the last notification, during which the other files of
	// the same change can be written.
	settleTime = 100 * time.Millisecond
)

// watcher calls a function when files have changed.
type watcher struct {
	paths        []string
	pollInterval time.Duration
	onChange     func()
	notifier     *fsnotify.Watcher
	stop         chan struct{}
	done         chan struct{}
}

// watch starts a watcher. Where notifications are not available it only polls.
func watch(paths []string, o Options, onChange func()) *watcher {
	w := &watcher{paths: paths, pollInterval: o.pollInterval(), onChange: onChange, stop: make(chan struct{}), done: make(chan struct{})}
	if notifier, err := fsnotify.NewWatcher(); err == nil && !o.pollOnly {
		w.notifier = notifier
		w.addDirectories()
	}
	stamps := w.stamps()
	go w.run(stamps)
	return w
}

// addDirectories watches the directories of the files. The watch of a file itself ends when
// the file is replaced by a rename, which is the safe way to change a file.
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
	ticker := time.NewTicker(w.pollInterval)
	defer ticker.Stop()
	events, settled := w.events(), newStoppedTimer()
	defer settled.Stop()
	for {
		select {
		case <-w.stop:
			w.closeNotifier()
			return
		case _, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			settled.Reset(settleTime)
		case <-settled.C:
			stamps = w.check(stamps)
		case <-ticker.C:
			stamps = w.check(stamps)
		}
	}
}

// check calls onChange if the files differ from the previous stamps, and returns the current
// stamps. A notification alone is not enough, as it may be for any file in the directory: if
// the log is written there, each line would cause a reload, which writes another line to the
// log.
func (w *watcher) check(previous []stamp) []stamp {
	current := w.stamps()
	if !slices.Equal(current, previous) {
		w.onChange()
	}
	return current
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
