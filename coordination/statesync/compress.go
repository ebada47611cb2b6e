package statesync

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

// maxTableBytes limits the size of a decompressed desired state, so that a message from another host can't exhaust the
// memory.
const maxTableBytes = 16 << 20

// compressTable compresses an encoded desired state with gzip.
func compressTable(body []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return compressed.Bytes(), nil
}

// decompressTable reverses compressTable. It returns an error if the result exceeds maxTableBytes.
func decompressTable(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxTableBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(body) > maxTableBytes {
		return nil, fmt.Errorf("decompressed desired state is longer than %d bytes", maxTableBytes)
	}
	return body, nil
}
