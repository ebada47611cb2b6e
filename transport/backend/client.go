package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// Request is one request to a backend server.
type Request struct {
	// Address is the host:port to connect to; Host is the value of the Host header field.
	Address string
	Method  string
	// Target is the target of the request line. It is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection opens a new connection for the request instead of reusing an idle one.
	NewConnection bool
	// KeptConnection uses only an idle connection. If there is none, the error wraps ErrNotSent and ErrNoIdleConnection.
	KeptConnection bool
	// MatchesRequest reports whether a response with the given status and header belongs to this request. Responses to
	// other requests on the same connection are skipped. If it is nil, the first response is taken.
	MatchesRequest func(status int, header http.Header) bool
	// IsUnidentified reports whether a response with the given header names no request. On a reused connection such a
	// response may be an earlier one that the server sent once more, so it is skipped there. If it is nil, all responses
	// count as identified.
	IsUnidentified func(header http.Header) bool
}

// ErrNotSent means that no part of the request reached the server.
var ErrNotSent = errors.New("the request was not sent")

// ErrNoIdleConnection means that there was no idle connection for a request with KeptConnection.
var ErrNoIdleConnection = errors.New("there is no idle connection")

// ErrStaleConnection means that a reused connection ended before any byte of the response arrived, or brought only
// responses that name no request. The server may have run the request. The error says nothing about the server itself,
// which may well answer on a new connection.
var ErrStaleConnection = errors.New("the reused connection brought no answer")

// Response is the head of a server's response and a stream of its body. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body in bytes, or -1 if the head does not announce it.
	ContentLength int64
	// EndsWithConnection says that the head announces neither a length nor chunks, so that the end of the connection is
	// the only mark of the end of the body.
	EndsWithConnection bool
	// NewConnection says that the request was sent on a newly opened connection.
	NewConnection bool
	Body          io.ReadCloser
}

const (
	// maxSkippedResponses is the number of skipped responses after which an exchange fails.
	maxSkippedResponses = 3
	// unidentifiedResponseWait is how long an exchange waits for its response after a response that names no request.
	unidentifiedResponseWait = 500 * time.Millisecond
	// maxDiscardedBodyBytes limits the body of a skipped or discarded response.
	maxDiscardedBodyBytes = 256 << 10
	// maxHeadBytes limits the head of a response together with the interim responses before it.
	maxHeadBytes = 40 << 10
	// maxHeadFields limits the header fields of each head.
	maxHeadFields = 256
)

// Do sends a request once and returns the head of the response. Its error wraps ErrNotSent or ErrStaleConnection where
// they apply. When the context ends, the connection is closed, which also interrupts reading the body.
func (pl *Pool) Do(ctx context.Context, request Request) (*Response, error) {
	var cn *conn
	if !request.NewConnection {
		cn = pl.takeIdle(request.Address)
	}
	if cn == nil && request.KeptConnection {
		return nil, errors.Join(ErrNotSent, ErrNoIdleConnection)
	}
	if cn == nil {
		var err error
		if cn, err = pl.dial(ctx, request.Address); err != nil {
			return nil, errors.Wrap(errors.Join(ErrNotSent, err), "connect")
		}
	}
	ex := &exchange{ctx: ctx, pool: pl, conn: cn, writeResult: make(chan error, 1)}
	ex.stopContextWatch = context.AfterFunc(ctx, tasks.Guarded(func() { _ = cn.Close() }))
	head := encodeRequestHead(request)
	if len(request.Body) <= maxSynchronousBodyBytes {
		_, err := cn.Write(append(head, request.Body...))
		ex.writeResult <- err
		if err != nil {
			ex.abort()
			return nil, errors.Wrap(ex.markStale(err), "send request")
		}
	} else {
		// A long body is not copied behind the head, because many of them may be sent at once.
		tasks.Go(func() {
			_, err := cn.WriteBuffers(net.Buffers{head, request.Body})
			ex.writeResult <- err
		})
	}
	return ex.receiveResponse(request)
}

// maxSynchronousBodyBytes is the size up to which a body is written completely before the response is read. Larger
// bodies are written while the response is read.
const maxSynchronousBodyBytes = 2048

// encodeRequestHead returns the request line and the header fields, up to and including the empty line.
func encodeRequestHead(request Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), maxSynchronousBodyBytes))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name)
			buffer.WriteString(": ")
			buffer.WriteString(value)
			buffer.WriteString("\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead && request.Method != http.MethodDelete {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(request.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// exchange is one request and its response on a connection. It is also the body of the response.
type exchange struct {
	ctx  context.Context
	pool *Pool
	conn *conn
	// writeResult receives the error of writing the request, or nil, when writing has ended.
	writeResult chan error
	// stopContextWatch cancels the closing of the connection at the end of the context. It returns false if the context
	// has already ended.
	stopContextWatch func() bool
	// reusable is set if the response allows another request on the connection once its body has been read.
	reusable bool
	// keepAliveTimeout is the idle time that the server announced, or 0.
	keepAliveTimeout time.Duration
	body             io.ReadCloser
	closed           bool
	// bodyComplete is set when the body has been read to its end.
	bodyComplete bool
}

// abort closes the connection after a failure.
func (ex *exchange) abort() {
	ex.stopContextWatch()
	_ = ex.conn.Close()
	ex.closed = true
}

// receiveResponse reads responses until one belongs to the request, and returns its head. It closes the connection on
// failure.
func (ex *exchange) receiveResponse(request Request) (*Response, error) {
	// http.ReadResponse needs the method to know whether the response has a body.
	httpRequest := &http.Request{Method: request.Method}
	var closeTimer timer.Subscription
	defer func() {
		if closeTimer != nil {
			closeTimer.Stop()
		}
	}()
	for range maxSkippedResponses {
		if _, err := ex.conn.reader.Peek(1); err != nil {
			ex.abort()
			return nil, errors.Wrap(ex.markStale(err), "read answer")
		}
		ex.conn.limitedReader.setLimit(maxHeadBytes)
		response, err := ex.conn.readFinalResponse(httpRequest)
		if err != nil {
			ex.abort()
			return nil, errors.Wrap(err, "read answer")
		}
		ex.conn.limitedReader.setLimit(unlimited)
		unidentified := ex.conn.reused && request.IsUnidentified != nil && request.IsUnidentified(response.Header)
		if unidentified && closeTimer == nil {
			closeTimer = ex.pool.clock.After(unidentifiedResponseWait, func() { _ = ex.conn.Close() })
		}
		if unidentified || request.MatchesRequest != nil && !request.MatchesRequest(response.StatusCode, response.Header) {
			if err := DiscardBody(response.Body); err != nil {
				ex.abort()
				return nil, errors.Wrap(err, "skip an answer to another request")
			}
			if response.Close {
				ex.abort()
				return nil, ex.markStale(errors.New("the server closed the connection after an answer to another request"))
			}
			continue
		}
		endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
		ex.reusable = !response.Close && response.ProtoAtLeast(1, 1) && !endsWithConnection
		ex.keepAliveTimeout = parseKeepAliveTimeout(response.Header)
		ex.body = response.Body
		return &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, EndsWithConnection: endsWithConnection, NewConnection: !ex.conn.reused, Body: ex}, nil
	}
	ex.abort()
	return nil, errors.New("the server sent only answers to other requests")
}

// DiscardBody reads the body of a response to its end, so that the connection can be reused. A body longer than
// maxDiscardedBodyBytes is an error.
func DiscardBody(body io.Reader) error {
	discarded, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBodyBytes+1))
	if err == nil && discarded > maxDiscardedBodyBytes {
		err = fmt.Errorf("its body is longer than %d bytes", maxDiscardedBodyBytes)
	}
	return err
}

// markStale adds ErrStaleConnection to the error of a connection that ended before any byte of the response arrived,
// if the connection was reused and the context had not ended.
func (ex *exchange) markStale(err error) error {
	if ex.conn.reused && ex.ctx.Err() == nil {
		return errors.Join(ErrStaleConnection, err)
	}
	return err
}

// readFinalResponse reads the next response and skips interim (1xx) ones.
func (cn *conn) readFinalResponse(request *http.Request) (*http.Response, error) {
	for {
		buffered, err := cn.reader.Peek(cn.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if err := cn.limitedReader.startHead(buffered); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, shortenError(err)
		}
		if err := httpresponse.CheckHead(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// maxErrorBytes limits the text of an error that quotes a response.
const maxErrorBytes = 256

// shortenError returns the error, or one with the beginning of its text if that is long. A long text quotes the response
// and would otherwise get into logs and messages to other hosts.
func shortenError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(text[:maxErrorBytes] + "...")
}

// parseKeepAliveTimeout returns how long the server keeps an idle connection open according to its Keep-Alive header
// field, or 0 if the field has no timeout. A timeout of 0 s is returned as 1 ms, so that it differs from a missing one.
func parseKeepAliveTimeout(header http.Header) time.Duration {
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

// Read reads the body of the response.
func (ex *exchange) Read(buffer []byte) (int, error) {
	count, err := ex.body.Read(buffer)
	if err == io.EOF {
		ex.bodyComplete = true
	}
	return count, err
}

// Close ends the exchange. It returns the connection to the pool if the context has not ended, the request was written
// completely, the body was read to its end, the response allows another request on the connection, and no further bytes
// have been received. Otherwise, it closes the connection.
func (ex *exchange) Close() error {
	if ex.closed {
		return nil
	}
	ex.closed = true
	requestSent := false
	select {
	case err := <-ex.writeResult:
		requestSent = err == nil
	default:
	}
	if !ex.stopContextWatch() || !requestSent || !ex.bodyComplete || !ex.reusable || ex.conn.reader.Buffered() > 0 {
		return ex.conn.Close()
	}
	ex.pool.putIdle(ex.conn, ex.keepAliveTimeout)
	return nil
}
