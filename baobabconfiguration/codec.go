package baobabconfiguration

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// MaxDecodedBytes limits the size of a decompressed snapshot or delta. 5,500 resources of 300 bytes take about 2 MiB.
	MaxDecodedBytes = 16 << 20
	// formatVersion is the version of the JSON format of snapshots and deltas.
	formatVersion = 1
	// zstdWindowBytes limits the memory of the encoder and decoder; a node may use 32 MB in total.
	zstdWindowBytes = 1 << 20
)

type resourceJSON struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// EncodeAll of the encoder and DecodeAll of the decoder are safe for concurrent use.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
			zstd.WithWindowSize(zstdWindowBytes))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxDecodedBytes), zstd.WithDecoderMaxWindow(MaxDecodedBytes))
	})
)

// encodeCompressed returns the zstd-compressed JSON encoding of v. Errors name the operation.
func encodeCompressed(operation string, v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	if len(text) > MaxDecodedBytes {
		return nil, newError(operation, ErrorSize, errors.Errorf("%d bytes, limit %d", len(text), MaxDecodedBytes))
	}
	e, err := encoder()
	if err != nil {
		return nil, newError(operation, ErrorInvalid, err)
	}
	return e.EncodeAll(text, nil), nil
}

// decodeCompressed decompresses JSON of at most MaxDecodedBytes and decodes it into v. Unknown fields are rejected.
func decodeCompressed(operation string, data []byte, v any) error {
	if len(data) > MaxDecodedBytes {
		return newError(operation, ErrorSize, errors.Errorf("%d bytes, limit %d", len(data), MaxDecodedBytes))
	}
	d, err := decoder()
	if err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	text, err := d.DecodeAll(data, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) ||
		len(text) > MaxDecodedBytes {
		return newError(operation, ErrorSize, errors.Errorf("more than %d bytes when decompressed", MaxDecodedBytes))
	}
	if err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	j := json.NewDecoder(bytes.NewReader(text))
	j.DisallowUnknownFields()
	if err := j.Decode(v); err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	if j.More() {
		return newError(operation, ErrorInvalid, errors.New("unexpected text after the JSON object"))
	}
	return nil
}

func encodeResources(resources []Resource) []resourceJSON {
	list := make([]resourceJSON, 0, len(resources))
	for _, r := range resources {
		list = append(list, resourceJSON{Kind: r.Kind(), Name: r.Name(), Spec: r.Text()})
	}
	return list
}

func decodeResources(list []resourceJSON) ([]Resource, error) {
	resources := make([]Resource, 0, len(list))
	for _, j := range list {
		r, err := ParseResource(j.Kind, j.Name, j.Spec)
		if err != nil {
			return nil, err
		}
		resources = append(resources, r)
	}
	return resources, nil
}
