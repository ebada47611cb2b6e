//go:build review

package stage

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage holds the store, the daemons and the record of one run.
type stage struct {
	// trouble is false for a run without the disruption.
	trouble bool
	root    string
	dir     string
	store   *store
	daemons []*daemon

	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newStage(recordPath string) (*stage, error) {
	root, err := filepath.Abs(filepath.Join(filepath.Dir(recordPath), "..", ".."))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "hibiscusleverd")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-stage-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	st := &stage{trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, file: file, startedAt: time.Now()}
	st.store, err = newStore()
	if err != nil {
		return nil, err
	}
	st.record("trouble %t", st.trouble)
	return st, nil
}

// record writes a line with the time since the start.
func (st *stage) record(format string, args ...any) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	fmt.Fprintf(st.file, "%8.3f  %s\n", time.Since(st.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (st *stage) close() {
	for _, dm := range st.daemons {
		dm.end()
	}
	st.store.close()
	_ = st.file.Close()
	if logs := os.Getenv("LOGS"); logs != "" {
		_ = os.CopyFS(logs, os.DirFS(st.dir))
	}
	_ = os.RemoveAll(st.dir)
}

// taken are the ports that freeAddress has returned.
var taken sync.Map

// freeAddress returns a loopback address that is free now. Its port is outside of the range from which the system takes ports for
// outgoing channels.
func freeAddress() string {
	const firstPort, ports = 20_000, 12_000
	for {
		port := firstPort + rand.IntN(ports)
		if _, isTaken := taken.LoadOrStore(port, true); isTaken {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return listener.Addr().String()
	}
}

// daemon is a process of the only role of the deploy file.
type daemon struct {
	stage *stage
	name  string
	// front, ready, directory and control are the addresses of Listen, operator is one of the internal ports.
	front, ready, directory, control, operator string
	command                                    *exec.Cmd
	exited                                     chan struct{}
}

// deployment is what the platform fills into the template and differs between the sites.
type deployment struct {
	memoryMb         int
	cpuShare         string
	retryBudgetSlack string
	zone             string
}

var (
	kspumpLever    = deployment{memoryMb: 206, cpuShare: "0.272", retryBudgetSlack: "234", zone: "accra"}
	inziraHqGrown  = deployment{memoryMb: 536, cpuShare: "0.8", retryBudgetSlack: "192", zone: "kigali"}
	quipuLimaGrown = deployment{memoryMb: 136, cpuShare: "0.134", retryBudgetSlack: "346", zone: "lima"}
)

// What the platform fills in for all of these sites.
const (
	graceS           = "8"
	retryBudgetRatio = "0.2"
	coldOverage      = "1.5"
	coldSlack        = "5"
	freeMs           = "4000"
	idleMaxMs        = "9000"
)

// startDaemons starts daemons in zones in turn and waits until all are ready.
func (st *stage) startDaemons(site deployment, count int) {
	var seeds []string
	for ix := range count {
		dm := &daemon{
			stage: st, name: fmt.Sprint("front-", ix+1), front: freeAddress(), ready: freeAddress(), directory: freeAddress(),
			control: freeAddress(), operator: freeAddress(),
		}
		st.daemons = append(st.daemons, dm)
		if ix < 3 {
			seeds = append(seeds, dm.control)
		}
	}
	for ix, dm := range st.daemons {
		dm.start(site, fmt.Sprintf("%s-%c", site.zone, 'a'+ix%3), seeds)
	}
	for _, dm := range st.daemons {
		await(dm.name+" is ready", func() bool { return getStatus("http://"+dm.ready+"/-/ready") == 200 })
	}
	st.record("%d daemons are ready", count)
}

// await waits for a condition that holds in any sound run.
func await(what string, holds func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(couldNotRun("not in time: " + what))
		}
	}
}

var section = regexp.MustCompile(`\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)

// start fills in the template of the deploy file, as the platform does, and runs the command of the deploy file.
func (dm *daemon) start(site deployment, zone string, seeds []string) {
	template, err := os.ReadFile(filepath.Join(dm.stage.root, "deploy", "host.ini"))
	check(err)
	operatorHost, operatorPort, _ := net.SplitHostPort(dm.operator)
	values := map[string]string{
		"Node": dm.name, "Zone": zone, "Listen.Front": dm.front, "Listen.Control": dm.control, "Listen.Ready": dm.ready,
		"Listen.Directory": dm.directory, "Ip": operatorHost, "InternalPorts.0": operatorPort, "Platform.Address": dm.stage.store.address(),
		"Seeds": strings.Join(seeds, ","), "Bounds.GraceS": graceS, "Bounds.RetryBudgetRatio": retryBudgetRatio,
		"Bounds.RetryBudgetSlack": site.retryBudgetSlack, "Bounds.ColdOverage": coldOverage, "Bounds.ColdSlack": coldSlack, "Bounds.FreeMs": freeMs, "Bounds.IdleMaxMs": idleMaxMs,
		"Limits.MemoryMb": strconv.Itoa(site.memoryMb), "Limits.CpuShare": site.cpuShare,
	}
	text := section.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := section.FindStringSubmatch(match)
		if values[parts[1]] == "" {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	path := filepath.Join(dm.stage.dir, dm.name+".ini")
	check(os.WriteFile(path, []byte(text), 0o600))
	logFile, err := os.Create(filepath.Join(dm.stage.dir, dm.name+".log"))
	check(err)
	defer func() { _ = logFile.Close() }()
	dm.command = exec.Command("target/hibiscusleverd")
	dm.command.Dir = dm.stage.root
	dm.command.Env = []string{"HIBISCUSLEVER_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	dm.command.Stdout, dm.command.Stderr = logFile, logFile
	check(dm.command.Start())
	dm.exited = make(chan struct{})
	go func() {
		_ = dm.command.Wait()
		close(dm.exited)
	}()
}

func (dm *daemon) signal(sig syscall.Signal) { _ = dm.command.Process.Signal(sig) }

// end ends the process.
func (dm *daemon) end() {
	if dm.command == nil || dm.command.Process == nil {
		return
	}
	dm.signal(syscall.SIGKILL)
	<-dm.exited
}

// hasExited reports whether the process has ended.
func (dm *daemon) hasExited() bool {
	select {
	case <-dm.exited:
		return true
	default:
		return false
	}
}

// residentKb returns the memory of the process in use, in kB.
func (dm *daemon) residentKb() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", dm.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
