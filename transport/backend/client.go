package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Request is one request to a backend server.
type Request struct {
	Address string
	Method  string
	// Target is the request line's target, passed on as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection has the request sent on a connection of its own.
	NewConnection bool
	// MatchesRequest reports whether a response with a status and a header belongs to the request. Others on the same
	// connection are skipped.
	MatchesRequest func(status int, header http.Header) bool
}

// ErrNotSent means that nothing of the request reached the server.
var ErrNotSent = errors.New("the request was not sent")

// ErrStaleConnection means that a connection that had served other requests ended without bringing any of the answer. The server
// may have run the request, yet a new connection to it may well do.
var ErrStaleConnection = errors.New("the reused connection brought no answer")

// Response is the head of a server's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 if it is not known beforehand.
	ContentLength int64
	Body   io.ReadCloser
}

const (
	// maxSkipped bounds the responses to other requests that are skipped on one connection.
	maxSkipped = 3
	// maxSkippedBytes bounds the body of such a response.
	maxSkippedBytes = 256 << 10
	// maxHeadBytes bounds the head of a response, interim responses before it included.
	maxHeadBytes = 64 << 10
)

// Do sends a request once and returns the head of the answer. The context ends the exchange at any time, the body
// included, by closing the connection.
func (pl *Pool) Do(ctx context.Context, rq Request) (*Response, error) {
	var cn *conn
	if !rq.NewConnection {
		cn = pl.take(rq.Address)
	}
	if cn == nil {
		var err error
		if cn, err = pl.dial(ctx, rq.Address); err != nil {
			return nil, errors.Wrap(errors.Join(ErrNotSent, err), "connect")
		}
	}
	ex := &exchange{ctx: ctx, pool: pl, conn: cn, written: make(chan error, 1)}
	ex.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	head := encodeHead(rq)
	if len(rq.Body) == 0 || len(rq.Body) <= smallBody {
		_, err := cn.Write(append(head, rq.Body...))
		ex.written <- err
		if err != nil {
			ex.abandon()
			return nil, errors.Wrap(ex.unanswered(err), "send request")
		}
	} else {
		go func() {
			_, err := cn.Write(append(head, rq.Body...))
			ex.written <- err
		}()
	}
	return ex.receive(rq)
}

// smallBody is the size in bytes up to which a body is written before the answer is read.
const smallBody = 2048

// encodeHead returns the request line and the header fields.
func encodeHead(rq Request) []byte {
	var bf bytes.Buffer
	bf.Grow(1024 + len(rq.Body))
	bf.WriteString(rq.Method)
	bf.WriteByte(' ')
	bf.WriteString(rq.Target)
	bf.WriteString(" HTTP/1.1\r\nHost: ")
	bf.WriteString(rq.Host)
	bf.WriteString("\r\n")
	for name, values := range rq.Header {
		for _, value := range values {
			bf.WriteString(name)
			bf.WriteString(": ")
			bf.WriteString(value)
			bf.WriteString("\r\n")
		}
	}
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead && rq.Method != http.MethodDelete {
		bf.WriteString("Content-Length: ")
		bf.WriteString(strconv.Itoa(len(rq.Body)))
		bf.WriteString("\r\n")
	}
	bf.WriteString("\r\n")
	return bf.Bytes()
}

// exchange is one request and its answer on a connection.
type exchange struct {
	ctx     context.Context
	pool    *Pool
	conn    *conn
	written chan error
	stop    func() bool
	// reusable says that the connection may serve another request once the body has been read.
	reusable bool
	keep     time.Duration
	body     io.ReadCloser
	done     bool
	whole    bool
}

func (ex *exchange) abandon() {
	ex.stop()
	_ = ex.conn.Close()
	ex.done = true
}

// receive reads response heads until one belongs to the request.
func (ex *exchange) receive(rq Request) (*Response, error) {
	method := &http.Request{Method: rq.Method}
	for range maxSkipped {
		if _, err := ex.conn.reader.Peek(1); err != nil {
			ex.abandon()
			return nil, errors.Wrap(ex.unanswered(err), "read answer")
		}
		ex.conn.source.limit(maxHeadBytes)
		rs, err := readResponse(ex.conn.reader, method)
		if err != nil {
			ex.abandon()
			return nil, errors.Wrap(err, "read answer")
		}
		ex.conn.source.limit(unlimited)
		if rq.MatchesRequest != nil && !rq.MatchesRequest(rs.StatusCode, rs.Header) {
			if err := skip(rs.Body); err != nil {
				ex.abandon()
				return nil, errors.Wrap(err, "skip an answer to another request")
			}
			if rs.Close {
				ex.abandon()
				return nil, ex.unanswered(errors.New("the server closed the connection after an answer to another request"))
			}
			continue
		}
		ex.reusable = !rs.Close && rs.ProtoAtLeast(1, 1) && (rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0)
		ex.keep = keepAlive(rs.Header)
		ex.body = rs.Body
		return &Response{Status: rs.StatusCode, Header: rs.Header, ContentLength: rs.ContentLength, Body: ex}, nil
	}
	ex.abandon()
	return nil, errors.New("the server sent only answers to other requests")
}

// skip reads the body of an answer to another request to its end.
func skip(body io.Reader) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err == nil && skipped > maxSkippedBytes {
		err = fmt.Errorf("its body is longer than %d bytes", maxSkippedBytes)
	}
	return err
}

// unanswered marks the error of a connection that ended before any of the answer came.
func (ex *exchange) unanswered(err error) error {
	if ex.conn.reused && ex.ctx.Err() == nil {
		return errors.Join(ErrStaleConnection, err)
	}
	return err
}

// readResponse reads the next final response.
func readResponse(rd *bufio.Reader, rq *http.Request) (*http.Response, error) {
	for {
		rs, err := http.ReadResponse(rd, rq)
		if err != nil {
			return nil, err
		}
		if rs.StatusCode >= http.StatusOK || rs.StatusCode == http.StatusSwitchingProtocols {
			return rs, nil
		}
	}
}

// keepAlive returns the time that a server says it keeps an idle connection; zero if it does not say.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(textproto.TrimString(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.Trim(value, `"`)); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second, time.Millisecond)
		}
	}
	return 0
}

// Read reads the answer's body.
func (ex *exchange) Read(buffer []byte) (int, error) {
	count, err := ex.body.Read(buffer)
	if err == io.EOF {
		ex.whole = true
	}
	return count, err
}

// Close ends the exchange. The connection is kept if the whole answer was read, the whole request was written and
// nothing more has come.
func (ex *exchange) Close() error {
	if ex.done {
		return nil
	}
	ex.done = true
	sent := false
	select {
	case err := <-ex.written:
		sent = err == nil
	default:
	}
	if !ex.stop() || !sent || !ex.whole || !ex.reusable || ex.conn.reader.Buffered() > 0 {
		return ex.conn.Close()
	}
	ex.pool.put(ex.conn, ex.keep)
	return nil
}
