package standin

import (
	"context"
	"time"

	"clovertrail.dev/store"
)

// bucket is a token bucket holding at most one second's worth of calls.
type bucket struct {
	rate   float64
	tokens float64
	filled time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.rate == 0 {
		return true
	}
	if b.filled.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	}
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *Store) admitRead(ctx context.Context) error {
	return s.admit(ctx, &s.reads, &s.counts.Reads)
}

func (s *Store) admitWrite(ctx context.Context) error {
	return s.admit(ctx, &s.writes, &s.counts.Writes)
}

// admit counts the call and applies delay, outage and rate, in this order.
func (s *Store) admit(ctx context.Context, b *bucket, count *int) error {
	s.mu.Lock()
	*count++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		if err := sleep(ctx, f.Delay); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		s.counts.Refused++
		return store.ErrUnavailable
	}
	if !b.take(time.Now()) {
		s.counts.Refused++
		return store.ErrRateLimited
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
