package relay

import "sync/atomic"

const (
	// defaultBodyMemory bounds the bytes of all requests' bodies if the VM's memory is not known. A VM has at
	// least 184 MB.
	defaultBodyMemory = 24 << 20
	// bodyChunk is the buffer that a body of unknown length is given first.
	bodyChunk = 16 << 10
	// smallAnswerBytes is the size of an answer up to which large ones can't take its memory.
	smallAnswerBytes = 16 << 10
	// largeAnswersFactor and smallAnswersFactor bound requests and answers together, as multiples of what
	// requests alone may take.
	largeAnswersFactor = 4. / 3
	smallAnswersFactor = 3. / 2
	// answerShare is the part of the memory for large answers that one answer may take.
	answerShare = 0.25
)

// bodyKind is what memory is reserved for.
type bodyKind int

const (
	requestBody bodyKind = iota
	// largeAnswer is an answer, or an event or head of one, beyond the usual size.
	largeAnswer
	smallAnswer
	numBodyKinds
)

// answerKind returns the kind of a part of an answer.
func answerKind(bytes int64) bodyKind {
	if bytes <= smallAnswerBytes {
		return smallAnswer
	}
	return largeAnswer
}

// bodyMemory bounds the memory of all bodies of requests and answers in one sum. Answers may take more of it than
// requests, which can be refused, while the request of an answer has run. Small answers may take more than large
// ones, so that replicas which send without end leave room for the answers of others. It is safe for concurrent use.
type bodyMemory struct {
	limits [numBodyKinds]int64
	used   atomic.Int64
}

// newBodyMemory returns an account in which requests may take the given number of bytes, 0 for a default.
func newBodyMemory(requests int64) *bodyMemory {
	if requests <= 0 {
		requests = defaultBodyMemory
	}
	return &bodyMemory{limits: [numBodyKinds]int64{
		requestBody: requests,
		largeAnswer: int64(largeAnswersFactor * float64(requests)),
		smallAnswer: int64(smallAnswersFactor * float64(requests)),
	}}
}

// maxAnswer returns how many bytes one answer may have.
func (m *bodyMemory) maxAnswer() int64 {
	return min(maxResponseBytes, int64(answerShare*float64(m.limits[largeAnswer])))
}

// reserve takes memory for a number of bytes, and reports whether there was room for them.
func (m *bodyMemory) reserve(kind bodyKind, bytes int64) bool {
	if m.used.Add(bytes) <= m.limits[kind] {
		return true
	}
	m.used.Add(-bytes)
	return false
}

func (m *bodyMemory) release(bytes int64) { m.used.Add(-bytes) }

// full reports whether there may be no room for the answer to another request.
func (m *bodyMemory) full() bool { return m.used.Load()+smallAnswerBytes > m.limits[smallAnswer] }

// BodyMemoryUsage is the memory of bodies on a VM, in bytes.
type BodyMemoryUsage struct {
	Used int64 `json:"used"`
	// Requests, LargeAnswers and SmallAnswers are the sums up to which each of them finds room.
	Requests     int64 `json:"requests"`
	LargeAnswers int64 `json:"largeAnswers"`
	SmallAnswers int64 `json:"smallAnswers"`
}

func (m *bodyMemory) usage() BodyMemoryUsage {
	return BodyMemoryUsage{Used: m.used.Load(), Requests: m.limits[requestBody], LargeAnswers: m.limits[largeAnswer], SmallAnswers: m.limits[smallAnswer]}
}

// headMemory is the part of the account that heads of answers beyond the usual size are reserved in. It implements
// transport.Memory.
type headMemory struct{ *bodyMemory }

// Reserve implements transport.Memory.
func (m headMemory) Reserve(bytes int64) bool { return m.reserve(largeAnswer, bytes) }

// Release implements transport.Memory.
func (m headMemory) Release(bytes int64) { m.release(bytes) }
