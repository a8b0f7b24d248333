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

// Bounds of the history.
const (
	maxHistory = 64
	// maxHistoryBytes leaves room for the store's limit on a value.
	maxHistoryBytes = store.MaxValue * 9 / 10
	// historyTries is the number of tries against other operators' writes.
	historyTries = 5
)

// kept is an entry of the history, with its configuration compressed.
type kept struct {
	Revision id.Revision
	Accepted []byte
}

// History returns the configurations that were replaced, the newest first.
func (b *Repository) History(ctx context.Context) (entries []Entry, err error) {
	defer func() { err = errors.Wrap(err, "read the history") }()
	_, list, err := b.readHistory(ctx)
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

func (b *Repository) readHistory(ctx context.Context) (revision id.Revision, list []kept, err error) {
	item, err := b.store.Get(ctx, directory.KeyHistory)
	if err != nil || item.Revision == 0 {
		return 0, nil, err
	}
	return item.Revision, list, errors.Wrap(json.Unmarshal(item.Value, &list), "decode the history")
}

// remember makes sure that an entry is in the history before it is replaced.
func (b *Repository) remember(ctx context.Context, e Entry) (err error) {
	defer func() { err = errors.Wrap(err, "write the history") }()
	if e.Revision == 0 {
		return nil
	}
	for range historyTries {
		revision, list, err := b.readHistory(ctx)
		if err != nil {
			return err
		}
		if n := len(list); n > 0 && list[n-1].Revision >= e.Revision {
			return nil
		}
		value, err := extend(list, e)
		if err != nil {
			return err
		}
		_, err = b.store.SwapAndVerify(ctx, directory.KeyHistory, revision, value)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.New("other operators keep writing it")
}

// extend appends an entry and drops the oldest ones until the list is within its bounds.
func extend(list []kept, e Entry) (value []byte, err error) {
	data, err := json.Marshal(e.Accepted)
	if err != nil {
		return nil, err
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	list = append(list, kept{Revision: e.Revision, Accepted: compressed})
	list = list[max(0, len(list)-maxHistory):]
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
	return io.ReadAll(io.LimitReader(r, 2*store.MaxValue))
}
