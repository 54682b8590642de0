package httpengine

import "bytes"

func indexNewline(b []byte) int { return bytes.IndexByte(b, '\n') }
