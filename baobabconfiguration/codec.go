package baobabconfiguration

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// MaxDecodedBytes limits a decompressed snapshot or delta. 5,500 resources of 300 bytes are about 2 MiB.
	MaxDecodedBytes = 16 << 20
	// formatVersion is the version of the JSON form inside snapshots and deltas.
	formatVersion = 1
	// windowBytes bounds the memory of the encoder and decoder; a node may use 32 MB in all.
	windowBytes = 1 << 20
)

type resourceJSON struct {
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

// The encoder and the decoder are safe for concurrent use through EncodeAll and DecodeAll.
var (
	encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	})
	decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxDecodedBytes), zstd.WithDecoderMaxWindow(MaxDecodedBytes))
	})
)

// encode returns the compressed JSON of form.
func encode(operation string, form any) ([]byte, error) {
	text, err := json.Marshal(form)
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

// decode parses compressed JSON of a bounded size into form.
func decode(operation string, data []byte, form any) error {
	if len(data) > MaxDecodedBytes {
		return newError(operation, ErrorSize, errors.Errorf("%d bytes, limit %d", len(data), MaxDecodedBytes))
	}
	d, err := decoder()
	if err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	text, err := d.DecodeAll(data, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) || len(text) > MaxDecodedBytes {
		return newError(operation, ErrorSize, errors.Errorf("more than %d bytes when decompressed", MaxDecodedBytes))
	}
	if err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	j := json.NewDecoder(bytes.NewReader(text))
	j.DisallowUnknownFields()
	if err := j.Decode(form); err != nil {
		return newError(operation, ErrorInvalid, err)
	}
	if j.More() {
		return newError(operation, ErrorInvalid, errors.New("text after the JSON object"))
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
