package transport

import (
	"context"
	"log/slog"
	"os"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// watchInterval is the interval at which the files are checked for changes.
const watchInterval = 2 * time.Second

// watch reloads the files when they change. If a changed file is invalid, the error is logged
// once and the previous files stay in use.
func (l *Links) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	cfg := l.generation().cfg
	last := modificationTimes(cfg, l.path)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		times := modificationTimes(cfg, l.path)
		if times == last {
			continue
		}
		last = times
		if err := l.reload(); err != nil {
			slog.Error("failed to reload federation files, keeping the previous ones", "error", err)
		}
		cfg = l.generation().cfg
	}
}

// reload loads the files and reopens all streams.
func (l *Links) reload() error {
	cfg, err := federation.Load(l.path)
	if err != nil {
		return err
	}
	secrets, err := loadSecrets(cfg)
	if err != nil {
		return err
	}
	l.replace(generation{cfg: cfg, secrets: secrets, changed: make(chan struct{})})
	slog.Info("federation files reloaded")
	l.emit(core.SiteConfig{Config: cfg})
	return nil
}

// replace makes a generation the current one and ends the streams of the previous one.
func (l *Links) replace(next generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addWriters(next.cfg)
	close(l.current.changed)
	l.current = next
}

// watchedFileCount is the number of files that are checked for changes.
const watchedFileCount = 5

// modificationTimes returns the modification times of the configuration file and of the files that
// it names. The time of a file that cannot be read is zero.
func modificationTimes(cfg *federation.Config, path string) (times [watchedFileCount]time.Time) {
	files := [watchedFileCount]string{path, cfg.Authority, cfg.Certificate, cfg.Key, cfg.TicketKeys}
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
