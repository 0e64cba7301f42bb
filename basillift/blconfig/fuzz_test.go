package blconfig

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/zstd"
)

// Guards against deltas that crash the decoder, and against deltas that change
// when a daemon decodes and encodes them to forward them.
func FuzzDecodeDelta(f *testing.F) {
	f.Add([]byte(`{"from":"1.1","to":"1.2","digest":"a","customers":{"basic":["kobuleti"]},"removed":["poti"],` +
		`"plans":[{"name":"basic","services":["catalogue"],"rate":200,"class":"bulk"}],"dropped":["full"],"services":["x"],"retired":["y"]}`))
	f.Add([]byte(`{"from":"0.0","to":"1.1","digest":"0"}`))
	f.Add([]byte(`{"from":null,"to":[],"digest":{}}`))
	base := snapshot(f, 1, map[string]string{"kobuleti": "full", "poti": "basic"})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDelta(data)
		if err != nil {
			return
		}
		first, err := EncodeDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeDelta(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := EncodeDelta(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("changed when forwarded: %s, then %s, %v", first, second, err)
		}
		if s, err := base.Apply(d); err == nil && s.Digest() != d.Digest() {
			t.Fatal("applied with another digest")
		}
	})
}

// Guards against full transfers that crash the decoder, and against accepting one
// without verifying its references.
func FuzzDecodeFull(f *testing.F) {
	good, err := EncodeFull(snapshot(f, 1, map[string]string{"kobuleti": "full", "poti": "basic"}))
	if err != nil {
		f.Fatal(err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, false)
	f.Add([]byte(`{"version":"1.1","digest":"0","services":["s"],"plans":[{"name":"p","services":["s"]}],"customers":{"p":["c"]}}`), true)
	f.Add(good[:len(good)/2], false)
	f.Fuzz(func(t *testing.T, data []byte, compress bool) {
		if compress { // random bytes are hardly ever valid compressed data
			data = encoder.EncodeAll(data, nil)
		}
		s, err := DecodeFull(data)
		if err != nil {
			return
		}
		if _, err := emptySnapshot().Apply(Diff(nil, s)); err != nil {
			t.Fatalf("accepted an invalid version: %v", err)
		}
	})
}
