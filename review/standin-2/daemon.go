package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// bounds are those of the sheet of the small site.
const (
	contactMs    = 4 * time.Second
	drainMs      = 3 * time.Second
	graceS       = 6
	retryRatio   = 0.2
	retrySlack   = 56
	retryWindowS = 10
)

// machine is a machine of the class front. Each has a loopback address of its own; the ports
// are the same on all of them.
type machine struct {
	name, zone, ip string
	ports          ports
	store          string
	seeds          []string
	tenants        bool
	retrySlack     int

	folder  string
	process *exec.Cmd
	exited  chan struct{}
}

type ports struct{ callers, readiness, addresses, peers, metrics int }

// freePorts returns ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for len(found) < 5 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		open := []net.Listener{l}
		ok := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				ok = false
				break
			}
			open = append(open, other)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if ok {
			found = append(found, port)
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file, as deploy/process.json.tmpl renders it for a front
// machine of the small site.
func (m *machine) settings() []byte {
	s := map[string]any{
		"name": m.name, "dataCentre": m.zone, "region": "r1",
		"callers": m.at(m.ports.callers), "readiness": m.at(m.ports.readiness), "addresses": m.at(m.ports.addresses),
		"peers": m.at(m.ports.peers), "store": m.store, "metrics": m.at(m.ports.metrics), "seeds": m.seeds,
		"key": "lovagegap", "graceS": graceS, "lifetimeS": 4,
		"repeats": map[string]any{"ratio": retryRatio, "slack": m.retrySlack, "windowS": retryWindowS},
		"limits":  map[string]any{"memoryMb": 414, "maxDescriptors": 6150, "cpuShare": 0.608, "cores": 1},
		"log":     map[string]any{"level": 1, "sample": 100},
	}
	if m.tenants {
		s["tenants"] = map[string]any{"strictRevocation": true, "revokeMs": 5000, "windowS": 5, "overshoot": 0.1, "slack": 20}
	}
	text, _ := json.MarshalIndent(s, "", "  ")
	return text
}

// start starts the process with the command of the deploy file.
func (m *machine) start(root string, command []string) error {
	path := filepath.Join(m.folder, m.name+".json")
	if err := os.WriteFile(path, m.settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(filepath.Join(root, command[0]), command[1:]...)
	m.process.Dir = root
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEGAP_NODE_FILE=" + path}
	m.process.Stdout, m.process.Stderr = log, log
	// The process ends with the stand-in, whatever ends that.
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), m.process
	m.exited = exited
	go func() { _ = process.Wait(); close(exited); _ = log.Close() }()
	return nil
}

func (m *machine) signal(s os.Signal) { _ = m.process.Process.Signal(s) }

// kill ends the process and waits for it.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(m.ports.readiness) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deployCommand returns the words of run in the deploy file.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no command in the deploy file")
}
