package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// quick asks hosts small questions.
var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// kind is a kind of request.
type kind struct {
	path    string
	service string
	// once says that the request may run once at most.
	once    bool
	stream  bool
	timeout time.Duration
	// fresh says that hosts may not know the route yet.
	fresh bool
	// marked says that the requests crash each server that runs them, and are all the same.
	marked bool
	// doublings says how often the shortest prompt may be doubled.
	doublings int
}

var (
	read  = kind{path: "/read/", service: "books", timeout: 2 * time.Second}
	order = kind{path: "/order/", service: "books", once: true, timeout: 1500 * time.Millisecond}
	chat  = kind{path: "/chat/", service: "models", stream: true, timeout: 3 * time.Second, doublings: 2}
	// long takes prompts over the memory of an engine as well.
	long = kind{path: "/chat/", service: "models", stream: true, timeout: 3 * time.Second, doublings: 10}
)

// exchange is one request of a client and what it saw of the answer.
type exchange struct {
	kind      kind
	id        string
	path      string
	body      string
	host      string
	sent, end time.Time
	left      time.Time
	status    int
	server    string
	sealed    bool
	answer    string
	err       error
}

func (ex *exchange) String() string {
	return fmt.Sprintf("%s %s via %s at %s: status %d, server %q, %d bytes, after %s, error %v", ex.id, ex.path, ex.host,
		ex.sent.Format("05.000"), ex.status, ex.server, len(ex.answer), ex.end.Sub(ex.sent), ex.err)
}

// client sends requests to one host at a time, over connections that it keeps, until that host fails it.
type client struct {
	world  *world
	name   string
	random *rand.Rand
	http   *http.Transport
	number int
	host   *host
}

// newClient returns a client whose requests depend on its name and the seed.
func newClient(wd *world, name string, seed uint64) *client {
	return &client{world: wd, name: name, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))), http: &http.Transport{}}
}

// run sends requests until the context ends.
func (cl *client) run(ctx context.Context) {
	defer cl.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if cl.host == nil {
			cl.host = cl.find()
		}
		if cl.host == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		kd := []kind{read, read, order, chat, long}[cl.random.IntN(5)]
		var leave time.Duration
		if cl.random.IntN(25) == 0 {
			leave = time.Duration(1+cl.random.IntN(120)) * time.Millisecond
		}
		ex := cl.send(kd, cl.host, leave)
		if ex.err != nil && ex.left.IsZero() {
			cl.host = nil
		}
		time.Sleep(time.Duration(5+cl.random.IntN(40)) * time.Millisecond)
	}
}

// mark is held by requests that crash each server that runs them.
const mark = "marked to crash"

// runMarked sends the same few requests that crash servers to any host until the context ends.
func (cl *client) runMarked(ctx context.Context) {
	defer cl.http.CloseIdleConnections()
	for ctx.Err() == nil {
		kd := []kind{read, order, chat}[cl.random.IntN(3)]
		kd.marked = true
		cl.send(kd, cl.world.hosts[cl.random.IntN(len(cl.world.hosts))], 0)
		time.Sleep(time.Duration(20+cl.random.IntN(200)) * time.Millisecond)
	}
}

// find asks a host for the addresses to use and takes one of them.
func (cl *client) find() *host {
	asked := cl.world.hosts[cl.random.IntN(len(cl.world.hosts))]
	rs, err := quick.Get(standin.DirectoryURL(asked.directory, hostName))
	if err != nil {
		return nil
	}
	defer func() { _ = rs.Body.Close() }()
	var known struct{ Addresses []string }
	if json.NewDecoder(rs.Body).Decode(&known) != nil || len(known.Addresses) == 0 {
		return nil
	}
	address := known.Addresses[cl.random.IntN(len(known.Addresses))]
	for _, hs := range cl.world.hosts {
		if hs.caller == address {
			return hs
		}
	}
	cl.world.broken("ADDRESS", "%s named %s, which is no host", asked.name, address)
	return nil
}

// send sends one request to a host and reads the answer. A leave above zero has the client go away after that time.
func (cl *client) send(kd kind, hs *host, leave time.Duration) *exchange {
	cl.number++
	ex := &exchange{kind: kd, id: fmt.Sprintf("%s-%d", cl.name, cl.number), host: hs.name}
	ex.path = fmt.Sprintf("%s%d?q=%d", kd.path, cl.number, cl.random.IntN(100))
	ex.body = strings.Repeat(ex.id+" ", 1+cl.random.IntN(200))
	if kd.marked {
		ex.path, ex.body = kd.path+"marked", mark
	}
	tokens := ""
	if kd.stream {
		const shortest = 512
		tokens = fmt.Sprintf("%d,%d", shortest+cl.random.IntN(shortest<<cl.random.IntN(1+kd.doublings)), 1+cl.random.IntN(255))
	}
	limit := clientPatience
	if leave > 0 {
		limit = leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ex.sent = time.Now()
	cl.exchange(ctx, ex, hs, tokens)
	ex.end = time.Now()
	if ctx.Err() != nil && ex.err != nil {
		ex.left = ex.end
	}
	cl.world.record(ex)
	return ex
}

func (cl *client) exchange(ctx context.Context, ex *exchange, hs *host, tokens string) {
	// A body without GetBody keeps net/http from sending a request twice by itself.
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hs.clients.address()+ex.path, io.NopCloser(strings.NewReader(ex.body)))
	if err != nil {
		ex.err = err
		return
	}
	rq.Host = hostName
	rq.ContentLength = int64(len(ex.body))
	standin.SetRequestHeaders(rq.Header, ex.id, key, tokens)
	rs, err := cl.http.RoundTrip(rq)
	if err != nil {
		ex.err = err
		return
	}
	defer func() { _ = rs.Body.Close() }()
	ex.status = rs.StatusCode
	if seal := rs.Header.Get("X-Response-Seal"); seal != "" {
		ex.sealed, ex.server = true, standin.ServerOfResponse(rs.Header)
	}
	answer, err := io.ReadAll(rs.Body)
	ex.answer, ex.err = string(answer), err
}
