package change

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// Limits of the history.
const (
	// maxHistoryEntries is the maximum number of entries.
	maxHistoryEntries = 64
	// maxHistoryBytes is the maximum encoded size in bytes, below the store's limit on a value.
	maxHistoryBytes = store.MaxValueBytes * 9 / 10
	// historyAttempts is the number of attempts to write the history while other operators write it too.
	historyAttempts = 5
)

// historyEntry is a replaced configuration, stored as JSON compressed with gzip.
type historyEntry struct {
	Revision id.Revision
	Accepted []byte
}

// History returns the replaced configurations, newest first.
func (r *Repository) History(ctx context.Context) (entries []Entry, err error) {
	defer func() { err = errors.Wrap(err, "read the history") }()
	_, list, err := r.readHistory(ctx)
	if err != nil {
		return nil, err
	}
	for i := len(list) - 1; i >= 0; i-- {
		e := Entry{Revision: list[i].Revision}
		data, err := decompress(list[i].Accepted)
		if err != nil {
			return nil, err
		}
		if e.Accepted, err = config.DecodeAccepted(data); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (r *Repository) readHistory(ctx context.Context) (revision id.Revision, list []historyEntry, err error) {
	item, err := r.store.Get(ctx, directory.KeyHistory)
	if err != nil || item.Revision == 0 {
		return 0, nil, err
	}
	return item.Revision, list, errors.Wrap(json.Unmarshal(item.Value, &list), "decode the history")
}

// appendHistory adds an entry to the history in the store unless it is there already.
//
// It is called before the entry is replaced, so that no configuration that was in force is missing from the history.
func (r *Repository) appendHistory(ctx context.Context, e Entry) (err error) {
	defer func() { err = errors.Wrap(err, "write the history") }()
	if e.Revision == 0 {
		return nil
	}
	for range historyAttempts {
		revision, list, err := r.readHistory(ctx)
		if err != nil {
			return err
		}
		if n := len(list); n > 0 && list[n-1].Revision >= e.Revision {
			return nil
		}
		value, err := encodeHistory(list, e)
		if err != nil {
			return err
		}
		_, err = r.store.SwapAndVerify(ctx, directory.KeyHistory, revision, value)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.New("too many concurrent writes by other operators")
}

// encodeHistory encodes the list with an entry appended, without the oldest entries that exceed the limits.
func encodeHistory(list []historyEntry, e Entry) (value []byte, err error) {
	data, err := json.Marshal(e.Accepted)
	if err != nil {
		return nil, err
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	list = append(list, historyEntry{Revision: e.Revision, Accepted: compressed})
	list = list[max(0, len(list)-maxHistoryEntries):]
	for {
		value, err = json.Marshal(list)
		if err != nil || len(value) <= maxHistoryBytes || len(list) == 0 {
			return value, err
		}
		list = list[1:]
	}
}

func compress(data []byte) (out []byte, err error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return buffer.Bytes(), err
}

func decompress(data []byte) (out []byte, err error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, 2*store.MaxValueBytes))
}
