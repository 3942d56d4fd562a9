package transport

import (
	"context"
	"log/slog"
	"os"
	"time"

	"pepperlever/internal/core"
	"pepperlever/internal/federation"
)

// watchInterval is the pause between two looks at the files.
const watchInterval = 2 * time.Second

// watch reads files that have changed. What can't be used is logged once, and the
// earlier files stay in force.
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
			slog.Error("changed federation files rejected, the earlier ones stay in force", "error", err)
		}
		cfg = l.generation().cfg
	}
}

// reload reads the files and has all streams opened anew.
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

// replace puts files into force.
func (l *Links) replace(next generation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addWriters(next.cfg)
	close(l.current.changed)
	l.current = next
}

// watchedFiles is the number of files that a configuration consists of.
const watchedFiles = 5

// modificationTimes tells when each of the files last changed.
func modificationTimes(cfg *federation.Config, path string) (times [watchedFiles]time.Time) {
	files := [watchedFiles]string{path, cfg.Authority, cfg.Certificate, cfg.Key, cfg.TicketKeys}
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
