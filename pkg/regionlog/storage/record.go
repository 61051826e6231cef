package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

const (
	// recordHeader is a length and a checksum of 4 bytes each.
	recordHeader   = 8
	maxRecordBytes = 1 << 30
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
)

var (
	errShort    = errors.New("truncated record")
	errChecksum = errors.New("checksum mismatch")
	errLength   = errors.New("record length out of range")
)

// crcTable uses the Castagnoli polynomial.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// checksum also covers the length, so that a corrupted length is detected.
func checksum(length uint32, payload []byte) uint32 {
	var prefix [4]byte
	binary.LittleEndian.PutUint32(prefix[:], length)
	return crc32.Update(crc32.Checksum(prefix[:], crcTable), crcTable, payload)
}

// appendRecord appends a record with a payload to buf.
func appendRecord(buf, payload []byte) []byte {
	length := uint32(len(payload))
	buf = binary.LittleEndian.AppendUint32(buf, length)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(length, payload))
	return append(buf, payload...)
}

// readRecord returns the payload of the first record in data and the record's size.
func readRecord(data []byte) (payload []byte, size int, err error) {
	if len(data) < recordHeader {
		return nil, 0, errShort
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes {
		return nil, 0, errLength
	}
	size = recordHeader + int(length)
	if len(data) < size {
		return nil, size, errShort
	}
	payload = data[recordHeader:size]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(length, payload) {
		return nil, size, errChecksum
	}
	return payload, size, nil
}

// isTornWrite reports whether the invalid record at offset looks like a write interrupted
// by a power loss: the file ends within it, or one of its sectors still holds only
// zeros. A complete record with a wrong checksum was corrupted after it was written.
func isTornWrite(data []byte, offset int) bool {
	_, size, err := readRecord(data[offset:])
	if errors.Is(err, errShort) {
		return true
	}
	end := len(data)
	if errors.Is(err, errChecksum) {
		end = offset + size
		if end < len(data) && !allZero(data[end:]) {
			return false
		}
	}
	return hasZeroSector(data, offset, end)
}

func hasZeroSector(data []byte, from, to int) bool {
	for start := from; start < to; {
		end := min((start/sectorBytes+1)*sectorBytes, to)
		if allZero(data[start:end]) {
			return true
		}
		start = end
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

// withChecksum returns the content of a file that holds payload and its checksum.
func withChecksum(payload []byte) []byte { return appendRecord(nil, payload) }

// verifyChecksum returns the payload of a file written by withChecksum.
func verifyChecksum(data []byte) ([]byte, error) {
	payload, size, err := readRecord(data)
	if err == nil && size != len(data) {
		err = errLength
	}
	return payload, err
}
