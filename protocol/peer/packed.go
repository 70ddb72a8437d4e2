package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Packed is a value in compressed JSON. A node packs once what it sends to many others, so that encoding and
// compression do not cost it anew for each of them.
type Packed []byte

// maxUnpacked is the maximum size of an unpacked value in bytes. It bounds what a faulty node can make others allocate.
const maxUnpacked = 64 << 20

// dictionary is what values have in common: the names of their fields and their usual values. It makes a batch of one
// or two changes less than half as large. All builds that read packed values need the same dictionary.
const dictionary = `{"i":"i-","a":"g":"g","e":1048576},{"s":"m":"r":"p":{"demand":[{"avoid":[{"staging":[{"name":"address":"hall":"capacity":0.,"number":` +
	`{"held":{"i-0":1,"i-1":2,"i-2":3,"i-3":4,"i-4":5,"i-5":6,"i-6":7,"i-7":8,"i-8":9,"i-9":1,"i-a":2,"i-b":3,"i-c":4,"i-d":5,"i-e":6,"i-f":7}` +
	`"Unlisted":true,"Leaving":true,"Restored":true,"State":"broken"},"State":"closing"},"State":""},"Draining":true,"Staged":null,"Membership":{"Group":"","Epoch":0,"Rank":0,` +
	`"Loaded":"","Position":[{"ID":"i-","Born":"2026-00-00T00:00:00Z","Service":"","Address":"10.0.0.0:8","Hall":"-hall","Domain":"-hall-d0","Slots":22,"Draining":false,` +
	`"Model":"","Staged":[""],"Membership":{"Group":"g1","Epoch":1,"Rank":1,"State":"open"},"Loaded":"","Position":1},` +
	`{"ID":"i-","Service":"","Address":"10.1.0.0:8","Hall":"-hall","Domain":"-hall-d1","Slots":26,"Draining":false,` +
	`"Model":"","Staged":[""],"Membership":{"Group":"g","Epoch":1,"Rank":1,"State":"joining"},"Loaded":"","Position":1},` +
	`{"ID":"i-","Service":"","Address":"10.2.0.0:8","Hall":"-hall","Domain":"-hall-d2","Slots":8,"Draining":false,` +
	`"Model":"","Staged":[""],"Membership":{"Group":"g","Epoch":1,"Rank":1,"State":"ready"},"Loaded":"","Position":1}]`

// compressors holds idle writers, which are large.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriterDict(io.Discard, flate.DefaultCompression, []byte(dictionary)) // the level is valid, which is the only possible error
	return w
}}

// Pack returns the packed form of a value.
func Pack(v any) (Packed, error) {
	var buf bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("peer: pack %T: %w", v, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("peer: pack %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Unpack stores the packed value in the value that v points to. An empty Packed leaves v as it is.
func (p Packed) Unpack(v any) error {
	if len(p) == 0 {
		return nil
	}
	r := flate.NewReaderDict(bytes.NewReader(p), []byte(dictionary))
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return fmt.Errorf("peer: unpack %T: %w", v, err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("peer: unpack %T: %w", v, err)
	}
	return nil
}
