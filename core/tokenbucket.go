package core

import (
	"math"
	"sync"
)

// TokenBuckets holds one token bucket for each upstream that this instance grants tokens for. A
// new bucket is empty, so that an instance that takes over from another one does not grant again
// what that one has granted.
type TokenBuckets struct {
	clock Clock

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds the tokens of one upstream at the time updatedAt.
type tokenBucket struct {
	tokens    float64
	updatedAt Millis
}

// NewTokenBuckets returns a TokenBuckets without buckets.
func NewTokenBuckets(clock Clock) *TokenBuckets {
	return &TokenBuckets{clock: clock, buckets: map[string]*tokenBucket{}}
}

// Take takes up to count tokens from the bucket of an upstream, which is filled with perSecond
// tokens a second. It returns how many it took and the time until there will be another one.
func (b *TokenBuckets) Take(upstream string, perSecond float64, count int) (int, Millis) {
	rate := max(perSecond, MinTokenRate)
	return b.take(upstream, rate, 1+rate*float64(TokenBurstMillis)/float64(Second), count)
}

// take takes up to count tokens from the bucket of an upstream, which is filled with rate tokens a
// second and holds no more than size. A bucket of size zero grants none.
func (b *TokenBuckets) take(upstream string, rate, size float64, count int) (int, Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	bucket, ok := b.buckets[upstream]
	if !ok {
		b.dropIdle(now)
		bucket = &tokenBucket{updatedAt: now}
		b.buckets[upstream] = bucket
	}
	bucket.tokens = min(size, bucket.tokens+rate*float64(now-bucket.updatedAt)/float64(Second))
	bucket.updatedAt = now
	if size < 1 {
		return 0, ColdNoShareMillis
	}
	taken := max(0, min(count, int(math.Floor(bucket.tokens))))
	bucket.tokens -= float64(taken)
	wait := math.Ceil((1 - bucket.tokens) / rate * float64(Second))
	return taken, max(0, Millis(wait))
}

// dropIdle deletes the buckets that were not used for TokenBucketIdleMillis. The caller holds the
// lock.
func (b *TokenBuckets) dropIdle(now Millis) {
	for upstream, bucket := range b.buckets {
		if now-bucket.updatedAt > TokenBucketIdleMillis {
			delete(b.buckets, upstream)
		}
	}
}
