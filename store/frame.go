package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of headerBytes, followed by its payload. Header fields are
// little-endian:
//
//	magic    uint32
//	length   uint32  of the payload
//	number   uint64  increases by one with each frame, over all segments
//	payload  uint32  CRC-32C of the payload
//	header   uint32  CRC-32C of the fields above
const (
	frameMagic  = 0x5a17d1e5
	headerBytes = 24
	sectorBytes = 512
	// maxFrameBytes bounds the payload, so that a damaged length is detected.
	maxFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame.
type frame struct {
	number  uint64
	payload []byte
	end     int // offset after the frame
}

// appendFrame appends a frame to data.
func appendFrame(data []byte, number uint64, payload []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], number)
	binary.LittleEndian.PutUint32(h[16:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[20:], crc32.Checksum(h[:20], castagnoli))
	return append(append(data, h[:]...), payload...)
}

// readHeader returns the frame header at offset at; ok is false if there is no
// valid one.
func readHeader(data []byte, at int) (length int, number uint64, sum uint32, ok bool) {
	if at+headerBytes > len(data) {
		return 0, 0, 0, false
	}
	h := data[at : at+headerBytes]
	if binary.LittleEndian.Uint32(h) != frameMagic || binary.LittleEndian.Uint32(h[20:]) != crc32.Checksum(h[:20], castagnoli) {
		return 0, 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(h[4:]))
	return length, binary.LittleEndian.Uint64(h[8:]), binary.LittleEndian.Uint32(h[16:]), length <= maxFrameBytes
}

// readFrame returns the frame at offset at; ok is false if it is incomplete or
// does not match its checksums.
func readFrame(data []byte, at int) (f frame, ok bool) {
	length, number, sum, ok := readHeader(data, at)
	if !ok || at+headerBytes+length > len(data) {
		return frame{}, false
	}
	payload := data[at+headerBytes : at+headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != sum {
		return frame{}, false
	}
	return frame{number: number, payload: payload, end: at + headerBytes + length}, true
}

// isTorn reports whether the invalid bytes from offset at to the end may be the
// result of a crash during the last write. Each write is synced before the next
// one begins, so a valid frame after the invalid bytes proves damage. So does a
// last frame of full length without a lost sector: a crash loses sectors, it does
// not flip bits.
func isTorn(data []byte, at int) bool {
	for next := at + 1; next+headerBytes <= len(data); next++ {
		if _, ok := readFrame(data, next); ok {
			return false
		}
	}
	length, _, _, ok := readHeader(data, at)
	if !ok {
		return len(data)-at < headerBytes || hasZeroSector(data, at, at+headerBytes)
	}
	end := at + headerBytes + length
	return end > len(data) || hasZeroSector(data, at, end)
}

// hasZeroSector reports whether the part of any sector within [from,to) is all
// zero, as left by a sector that was never written.
func hasZeroSector(data []byte, from, to int) bool {
	to = min(to, len(data))
	for from < to {
		end := min(from-from%sectorBytes+sectorBytes, to)
		if allZero(data[from:end]) {
			return true
		}
		from = end
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
