package placer

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/transferrer"
	"celeryvalve/verifier"
)

const (
	// weightsFolder is beside that of the control replica.
	weightsFolder = "weights"
	// keptLimit bounds what is kept: a quarter of the smallest disk of the platform,
	// which has 64 MB.
	keptLimit identifier.ByteCount = 16 << 20
	// keptReleases are kept where the limit leaves room for no more: the wanted one,
	// and the one that is still in force while it comes.
	keptReleases = 2
	// keptPause is between two writes, so that the log of the control replica is
	// written meanwhile: twice the time of a sync on a slow disk.
	keptPause = 10 * time.Millisecond
	// keptWait is for how long a mirror waits for its disk: a usual one brings a
	// release within a tenth of that.
	keptWait = 300 * time.Millisecond
)

// keeper keeps the releases that a mirror holds on its disk. After a loss of power
// the mirror has them at once, while the origin would need seconds. A disk that
// stalls or fails costs the copy alone.
type keeper struct {
	held  *transferrer.Store
	disk  *transferrer.Store // nil where the disk can't be used
	log   *zap.Logger
	clock clockwork.Clock
	// ready is closed once it is known what the disk holds.
	ready chan struct{}

	mu   sync.Mutex
	kept []*verifier.Manifest // the newest last
}

func newKeeper(folder string, held *transferrer.Store, clock clockwork.Clock, log *zap.Logger) *keeper {
	k := &keeper{held: held, clock: clock, log: log.Named("keeper"), ready: make(chan struct{})}
	disk, err := transferrer.NewStore(transferrer.StoreConfig{
		Folder:  filepath.Join(folder, weightsFolder),
		Limit:   keptLimit,
		Durable: true,
	})
	if err != nil {
		k.log.Error("Weights are not kept on this disk.", zap.Error(err))
		return k
	}
	k.disk = disk
	return k
}

// open finds out what the disk holds.
func (k *keeper) open() {
	defer close(k.ready)
	if k.disk == nil {
		return
	}
	chunks, err := k.disk.Restore()
	k.log.Info("Looked at kept weights.", zap.Int("chunks", len(chunks)), zap.Error(err))
}

// restore gives the chunks of the release that the disk holds to take. It ends
// early where the disk takes too long.
func (k *keeper) restore(m *verifier.Manifest, take func(identifier.Digest, []byte) error) {
	patience := k.clock.After(keptWait)
	select {
	case <-k.ready:
	case <-patience:
		k.log.Warn("The disk with kept weights takes too long.")
		return
	}
	if k.disk == nil {
		return
	}
	taken := 0
	for _, digest := range digestsOf(m) {
		data, err := k.disk.Get(digest)
		if err != nil {
			continue // it comes from elsewhere
		}
		if err := take(digest, data); err != nil {
			k.log.Warn("A kept chunk is of no use.", zap.Stringer("chunk", digest), zap.Error(err))
			continue
		}
		taken++
	}
	k.log.Info("Took up a kept release.", zap.Stringer("manifest", m.Digest()), zap.Int("chunks", taken))
}

// keep writes the chunks of a release that is held whole. Older releases make room.
func (k *keeper) keep(ctx context.Context, m *verifier.Manifest) {
	<-k.ready
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.disk == nil {
		return
	}
	k.kept = append(k.kept, m)
	if len(k.kept) > keptReleases {
		k.kept = k.kept[len(k.kept)-keptReleases:]
	}
	if k.disk.Used()+m.Size() > keptLimit {
		k.dropOthers()
	}
	err := k.write(ctx, m)
	k.log.Info("Kept a release.", zap.Stringer("manifest", m.Digest()), zap.Int64("bytes", int64(k.disk.Used())), zap.Error(err))
}

func (k *keeper) write(ctx context.Context, m *verifier.Manifest) error {
	for _, digest := range digestsOf(m) {
		data, err := k.held.Get(digest)
		if err != nil {
			return err
		}
		chunk, err := verifier.VerifyBytes(digest, data)
		if err != nil {
			return err
		}
		if err := k.disk.Put(chunk, data); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.clock.After(keptPause):
		}
	}
	return nil
}

func (k *keeper) dropOthers() {
	var wanted []identifier.Digest
	for _, m := range k.kept {
		wanted = append(wanted, digestsOf(m)...)
	}
	others := slices.DeleteFunc(k.disk.Held(), func(d identifier.Digest) bool { return slices.Contains(wanted, d) })
	k.disk.Drop(others)
}

func digestsOf(m *verifier.Manifest) []identifier.Digest {
	var digests []identifier.Digest
	for i := range m.Chunks() {
		if l, ok := m.Chunk(verifier.ChunkIndex(i)); ok {
			digests = append(digests, l.Digest)
		}
	}
	return digests
}
