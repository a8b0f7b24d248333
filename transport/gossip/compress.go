package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/pool"
)

// errExpandsTooFar means that compressed data is longer than allowed when it is decompressed.
var errExpandsTooFar = errors.New("the decompressed data is too long")

// writers holds compressors, each of which takes more than half a megabyte.
var writers = pool.NewPool(func() *flate.Writer {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("gossip: the level of compression is invalid: " + err.Error())
	}
	return w
})

// compress returns data in the DEFLATE format. Configurations and key tables repeat most of their names, and the sender's
// link limits how fast hundreds of VMs get them.
func compress(data []byte) (out []byte, err error) {
	var b bytes.Buffer
	w := writers.Get()
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress returns the original of compressed data, of at most limit bytes.
func decompress(data []byte, limit int64) (out []byte, err error) {
	out, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err == nil && int64(len(out)) > limit {
		err = errExpandsTooFar
	}
	return out, err
}
